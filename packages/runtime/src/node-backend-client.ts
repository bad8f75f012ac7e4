/** HTTP client for back ends, based on the HTTP client of Node.js, with a connection pool for each address. */
import { connect } from 'node:net';
import { AnswerMatcher, type UnmatchedAnswer } from './answer-matcher.js';
import { BackendExchange } from './backend-exchange.js';
import { HttpNotSentError } from './http.js';
import { KeepAliveAgent } from './keep-alive-agent.js';
import type { BackendResponse, BackendCall, BackendClient, ConnectionProbe } from './streaming-http.js';
import { parseAddress } from './transport.js';

/** Whether a call failed because its connection was refused. */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof HttpNotSentError) || !(error.cause instanceof Error)) return false;
  return (error.cause as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Options of {@link NodeBackendClient}. */
export interface NodeBackendClientOptions {
  /**
   * Returns the id of the call that an answer names; undefined if it names none. Answers that may belong to another call then
   * fail the call with an {@link UnmatchedAnswerError}. @default every answer is taken for that to the call in progress
   */
  readonly answeredId?: (headers: BackendResponse['headers']) => string | undefined;
  /** Called for each answer that does not name its call. */
  readonly onUnmatched?: (answer: UnmatchedAnswer) => void;
}

/** Sends requests to back ends over plain HTTP. */
export class NodeBackendClient implements BackendClient, ConnectionProbe {
  private readonly agents = new Map<string, KeepAliveAgent>();
  private readonly matcher: AnswerMatcher | undefined;
  private openedCount = 0;

  constructor(private readonly options: NodeBackendClientOptions = {}) {
    this.matcher = options.answeredId === undefined ? undefined : new AnswerMatcher(options.answeredId);
  }

  get connectionsOpened(): number {
    return this.openedCount;
  }

  send(call: BackendCall): Promise<BackendResponse> {
    const { matcher, options } = this;
    const agent = this.agentOf(call.address);
    const exchange = new BackendExchange(call, { agent, matcher, onUnmatched: options.onUnmatched });
    if (matcher === undefined || agent.prefer((socket) => matcher.fits(call, socket)))
      return exchange.start();
    return agent.openNew(() => exchange.start());
  }

  canConnect(address: string, timeoutMs: number): Promise<boolean> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const finish = (isConnected: boolean): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(isConnected);
      };
      const timer = setTimeout(() => {
        finish(false);
      }, timeoutMs);
      socket.once('connect', () => {
        finish(true);
      });
      socket.on('error', () => {
        finish(false);
      });
    });
  }

  closeIdleConnections(address: string): void {
    const agent = this.agents.get(address);
    if (agent === undefined) return;
    this.agents.delete(address);
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private agentOf(address: string): KeepAliveAgent {
    let agent = this.agents.get(address);
    if (agent === undefined) {
      agent = this.createAgent();
      this.agents.set(address, agent);
    }
    return agent;
  }

  private createAgent(): KeepAliveAgent {
    return new KeepAliveAgent(() => {
      this.openedCount += 1;
    });
  }
}
