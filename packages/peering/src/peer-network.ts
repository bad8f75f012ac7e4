/** Remote calls between daemons, with one outgoing connection to each peer and channel. */
import { setMaxListeners } from 'node:events';
import { WoodbarrowError, isErrorKind, toWoodbarrowError } from '@woodbarrow/errors';
import {
  PROTOCOL_VERSION,
  decodeEnvelope,
  encodeEnvelope,
  type Envelope,
  type HelloEnvelope,
  type PeerMethod,
  type RequestEnvelope,
} from '@woodbarrow/protocol';
import {
  settleWithin,
  type Address,
  type Clock,
  type Connection,
  type Listener,
  type Transport,
} from '@woodbarrow/runtime';
import { ResponseTimes } from './response-times.js';
import { TrafficCounters } from './traffic-counters.js';

export interface PeerNetworkOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** Address to listen on, `ip:port`. */
  readonly address: Address;
  /** Name of the deployment; connections from other deployments are refused. */
  readonly deployment: string;
  /** Timeout of a connection attempt in milliseconds. @default 1000 */
  readonly connectTimeoutMs?: number;
}

export interface CallOptions {
  /** Timeout of the call in milliseconds. @default 2000 */
  readonly timeoutMs?: number;
  /**
   * Whether the timeout is extended to what the peer has recently taken, {@link MAX_ADAPTIVE_TIMEOUT_MS} at most. For calls that
   * a peer answers at once: a peer that is busy answers late, and its answer is still of use. @default false
   */
  readonly isAdaptive?: boolean;
  /**
   * Connection that carries the call. Bulk data has its own, so that it neither delays control calls nor ends when one of them
   * finds its connection half open. @default 'control'
   */
  readonly channel?: PeerChannel;
}

export type PeerChannel = 'control' | 'bulk';

/** What a handler knows of the caller. */
export interface CallContext {
  /** Aborts when the connection of the caller closes. */
  readonly disconnected: AbortSignal;
}

/** Handles a call; an error that it throws reaches the caller with the same kind. */
export type PeerHandler<Request, Response> = (
  request: Request,
  context: CallContext,
) => Promise<Response> | Response;

/** Signal of calls of a daemon to itself. */
const NEVER_ABORTED = new AbortController().signal;
const DEFAULT_CALL_TIMEOUT_MS = 2000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
/** Longest timeout of an adaptive call, in milliseconds. */
export const MAX_ADAPTIVE_TIMEOUT_MS = 3000;
/**
 * Time without any frame, while the peer owes an answer, after which a connection may be half open and is closed, in milliseconds. A busy peer
 * is silent for shorter; closing its connection would fail all other calls on it.
 */
const HALF_OPEN_AFTER_MS = 1000;
/** Calls that were given up of which one connection remembers the start, so that a late answer tells how long the peer took. */
const MAX_REMEMBERED_CALLS = 64;

interface PendingCall {
  readonly resolve: (body: object) => void;
  readonly reject: (error: Error) => void;
  readonly cancelTimer: () => void;
  /** Monotonic time of an adaptive call, whose response time is recorded. */
  readonly measuredFrom: number | undefined;
}

/** A call as it is sent. */
interface OutgoingCall {
  readonly method: string;
  readonly body: object;
  readonly timeoutMs: number;
  readonly isAdaptive: boolean;
}

/** One outgoing connection and the pending calls on it. */
class Peer {
  readonly pending = new Map<number, PendingCall>();
  /** Monotonic time of the adaptive calls that were given up, by id; oldest first. */
  readonly givenUp = new Map<number, number>();
  nextId = 1;
  /** Monotonic time of the last received frame. */
  lastReceivedAt = -Infinity;
  /** Monotonic time of the first call since the last received frame that the peer answers at once; undefined if there is none. */
  owesSince: number | undefined;

  constructor(readonly connection: Connection) {}

  rememberGivenUp(id: number, from: number): void {
    this.givenUp.set(id, from);
    const [oldest] = this.givenUp.keys();
    if (this.givenUp.size > MAX_REMEMBERED_CALLS && oldest !== undefined) this.givenUp.delete(oldest);
  }
}

/** Sends calls to peers and handles theirs. */
export class PeerNetwork {
  /** Bytes and messages sent and received. */
  readonly traffic = new TrafficCounters();
  private readonly handlers = new Map<string, PeerHandler<object, object>>();
  /** Outgoing connections by channel and address. */
  private readonly peers = new Map<string, Promise<Peer>>();
  private readonly responseTimes = new Map<Address, ResponseTimes>();
  /** Monotonic time of the last frame from each peer, on connections of either direction. */
  private readonly heardAt = new Map<Address, number>();
  private readonly accepted = new Set<Connection>();
  private listener: Listener | undefined;
  private closed = false;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Address at which peers reach this daemon; final after {@link start}. */
  get address(): Address {
    return this.listener?.address ?? this.options.address;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    this.listener = await this.options.transport.listen(this.options.address, (connection) => {
      void this.serve(connection);
    });
  }

  /** Registers the handler of a method. */
  handle<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: PeerHandler<Request, Response>,
  ): void {
    this.handlers.set(method.name, handler as unknown as PeerHandler<object, object>);
  }

  /**
   * Calls a peer.
   *
   * @throws WoodbarrowError `peer_unreachable` when the peer cannot have received the request, `peer_timeout`
   * when no response arrived, or the kind that the peer's handler threw.
   */
  async call<Request, Response>(
    address: Address,
    method: PeerMethod<Request, Response>,
    request: Request,
    options: CallOptions = {},
  ): Promise<Response> {
    if (address === this.address) return this.callSelf(method, request);
    const isAdaptive = options.isAdaptive === true;
    const baseTimeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    const timeoutMs = isAdaptive ? this.adaptiveTimeoutMs(address, baseTimeoutMs) : baseTimeoutMs;
    const { clock } = this.options;
    const startedAt = clock.monotonic();
    const opened = await settleWithin(
      clock,
      timeoutMs,
      this.connectionTo(address, options.channel ?? 'control'),
    );
    if (opened.timedOut) throw new WoodbarrowError('peer_unreachable', `no connection to ${address} in time`);
    const remainingMs = timeoutMs - (clock.monotonic() - startedAt);
    const call = { method: method.name, body: request as object, timeoutMs: remainingMs, isAdaptive };
    return (await this.exchange(opened.value, address, call)) as Response;
  }

  /** Timeout of a call that the peer answers at once: `minimumMs`, or longer if it has recently taken longer. */
  adaptiveTimeoutMs(address: Address, minimumMs: number): number {
    const expectedMs = this.responseTimes.get(address)?.expectedWithinMs ?? 0;
    return Math.max(minimumMs, Math.min(MAX_ADAPTIVE_TIMEOUT_MS, expectedMs));
  }

  /** Monotonic time at which anything last arrived from a peer; undefined if nothing has. */
  lastHeardAt(address: Address): number | undefined {
    return this.heardAt.get(address);
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.closed = true;
    for (const connection of this.accepted) connection.close();
    const open = [...this.peers.values()];
    this.peers.clear();
    await this.listener?.close();
    for (const opening of open) {
      const peer = await opening.catch(() => undefined);
      peer?.connection.close();
    }
  }

  private async callSelf<Request, Response>(
    method: PeerMethod<Request, Response>,
    request: Request,
  ): Promise<Response> {
    const handler = this.handlers.get(method.name);
    if (handler === undefined) throw new WoodbarrowError('internal', `no handler for method ${method.name}`);
    return (await handler(request as object, { disconnected: NEVER_ABORTED })) as Response;
  }

  private connectionTo(address: Address, channel: PeerChannel): Promise<Peer> {
    const key = `${channel} ${address}`;
    const existing = this.peers.get(key);
    if (existing !== undefined) return existing;
    const opening = this.open(address, key);
    this.peers.set(key, opening);
    opening.catch(() => {
      this.removePeer(key, opening);
    });
    return opening;
  }

  private async open(address: Address, key: string): Promise<Peer> {
    if (this.closed)
      throw new WoodbarrowError('peer_unreachable', 'the peer network of this daemon is closed');
    const timeoutMs = this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    let connection: Connection;
    try {
      connection = await this.options.transport.connect(address, timeoutMs);
    } catch (error) {
      throw new WoodbarrowError('peer_unreachable', `cannot connect to ${address}`, { cause: error });
    }
    const peer = new Peer(connection);
    const { deployment } = this.options;
    const hello = { type: 'hello', version: PROTOCOL_VERSION, deployment, address: this.address } as const;
    this.transmit(connection, hello, 'hello');
    void this.readAnswers(address, key, peer);
    return peer;
  }

  private removePeer(key: string, opening: Promise<Peer>): void {
    if (this.peers.get(key) === opening) this.peers.delete(key);
  }

  private exchange(peer: Peer, address: Address, call: OutgoingCall): Promise<object> {
    return new Promise((resolve, reject) => {
      const id = peer.nextId;
      peer.nextId += 1;
      const { clock } = this.options;
      const sentAt = clock.monotonic();
      if (call.isAdaptive) peer.owesSince ??= sentAt;
      this.closeIfHalfOpen(address, peer);
      const giveUp = (): void => {
        if (!peer.pending.delete(id)) return;
        if (call.isAdaptive) peer.rememberGivenUp(id, sentAt);
        if (peer.lastReceivedAt < sentAt) peer.owesSince ??= sentAt;
        this.closeIfHalfOpen(address, peer);
        const waitedMs = Math.round(clock.monotonic() - sentAt);
        const message = `${call.method} at ${address}: no answer in ${String(waitedMs)} ms`;
        reject(new WoodbarrowError('peer_timeout', message));
      };
      const cancelTimer = clock.schedule(call.timeoutMs, () => {
        clock.afterInput(giveUp);
      });
      const measuredFrom = call.isAdaptive ? sentAt : undefined;
      peer.pending.set(id, { resolve, reject, cancelTimer, measuredFrom });
      this.transmit(
        peer.connection,
        { type: 'request', id, method: call.method, body: call.body },
        call.method,
      );
    });
  }

  /** Closes a connection on which the peer has owed an answer for too long without any frame; the next call opens a new one. */
  private closeIfHalfOpen(address: Address, { owesSince, connection }: Peer): void {
    if (owesSince === undefined) return;
    const limitMs = this.adaptiveTimeoutMs(address, HALF_OPEN_AFTER_MS);
    if (this.options.clock.monotonic() - owesSince >= limitMs) connection.close();
  }

  /** Reads the responses of one outgoing connection until it closes. */
  private async readAnswers(address: Address, key: string, peer: Peer): Promise<void> {
    try {
      for await (const frame of peer.connection.frames) {
        const envelope = decodeEnvelope(frame);
        const now = this.options.clock.monotonic();
        peer.lastReceivedAt = now;
        peer.owesSince = undefined;
        this.heardAt.set(address, now);
        this.traffic.received('answer', frame.byteLength);
        this.settle(peer, address, envelope);
      }
    } catch {
      this.traffic.malformedFrames += 1;
    }
    const current = this.peers.get(key);
    if (current !== undefined && (await current.catch(() => undefined)) === peer)
      this.removePeer(key, current);
    peer.connection.close();
    for (const call of peer.pending.values()) {
      call.cancelTimer();
      call.reject(
        new WoodbarrowError('peer_timeout', `connection to ${address} closed before the response arrived`),
      );
    }
    peer.pending.clear();
  }

  private settle(peer: Peer, address: Address, envelope: Envelope): void {
    if (envelope.type !== 'response' && envelope.type !== 'failure') return;
    const call = peer.pending.get(envelope.id);
    if (call === undefined) {
      this.traffic.lateAnswers += 1;
      this.recordResponseTime(address, peer.givenUp.get(envelope.id));
      peer.givenUp.delete(envelope.id);
      return;
    }
    this.recordResponseTime(address, call.measuredFrom);
    peer.pending.delete(envelope.id);
    call.cancelTimer();
    if (envelope.type === 'response') {
      call.resolve(envelope.body);
      return;
    }
    const kind = isErrorKind(envelope.kind) ? envelope.kind : 'internal';
    call.reject(new WoodbarrowError(kind, envelope.message));
  }

  private recordResponseTime(address: Address, from: number | undefined): void {
    if (from === undefined) return;
    let times = this.responseTimes.get(address);
    if (times === undefined) {
      times = new ResponseTimes();
      this.responseTimes.set(address, times);
    }
    times.record(this.options.clock.monotonic() - from);
  }

  /** Serves the requests of one accepted connection until it closes. */
  private async serve(connection: Connection): Promise<void> {
    this.accepted.add(connection);
    const closed = new AbortController();
    // Each exchange that is relayed for the caller adds a listener.
    setMaxListeners(0, closed.signal);
    let hasHandshake = false;
    /** Where the caller listens; daemons of older versions do not say. */
    let caller: Address | undefined;
    try {
      for await (const frame of connection.frames) {
        const envelope = decodeEnvelope(frame);
        if (caller !== undefined) this.heardAt.set(caller, this.options.clock.monotonic());
        if (!hasHandshake) {
          if (envelope.type !== 'hello' || !this.acceptsHello(envelope)) break;
          hasHandshake = true;
          caller = envelope.address;
        } else if (envelope.type === 'request') {
          this.traffic.received(envelope.method, frame.byteLength);
          void this.answer(connection, envelope, closed.signal);
        }
      }
    } catch {
      this.traffic.malformedFrames += 1;
    }
    this.accepted.delete(connection);
    connection.close();
    closed.abort();
  }

  private acceptsHello({ version, deployment }: HelloEnvelope): boolean {
    const isCompatible = version === PROTOCOL_VERSION && deployment === this.options.deployment;
    if (!isCompatible) this.traffic.refusedConnections += 1;
    return isCompatible;
  }

  private async answer(
    connection: Connection,
    request: RequestEnvelope,
    disconnected: AbortSignal,
  ): Promise<void> {
    try {
      const handler = this.handlers.get(request.method);
      if (handler === undefined) throw new WoodbarrowError('not_found', `unknown method ${request.method}`);
      const body = await handler(request.body, { disconnected });
      this.transmit(connection, { type: 'response', id: request.id, body }, 'answer');
    } catch (thrown) {
      const error = toWoodbarrowError(thrown);
      this.transmit(
        connection,
        { type: 'failure', id: request.id, kind: error.kind, message: error.message },
        'answer',
      );
    }
  }

  private transmit(connection: Connection, envelope: Envelope, label: string): void {
    const frame = encodeEnvelope(envelope);
    this.traffic.sent(label, frame.byteLength);
    connection.send(frame);
  }
}
