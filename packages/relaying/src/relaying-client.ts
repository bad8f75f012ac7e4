/**
 * Client for back ends that uses direct connections while they work, and other daemons as relays for back ends whose direct path is
 * lost. Choice of the back end, permits, retries and what clients are told stay with the caller, so a request that may run once is
 * sent again here only if it certainly did not reach the back end.
 */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import { errorMessage } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  HttpNotSentError,
  type BackendCall,
  type BackendClient,
  type BackendResponse,
} from '@woodbarrow/runtime';
import type { BackendPaths } from './backend-paths.js';
import { RelayClient, RelayNotConnectedError, RelayRefusedError } from './relay-client.js';
import type { RelayCandidate, RelayPeers } from './relay-peers.js';

/** Daemons that are tried for one send. */
const MAX_RELAYS_PER_SEND = 3;
/** Daemons that could not connect either, from which on the back end counts as down. */
const MAX_UNCONNECTED_RELAYS = 2;

/** Options of {@link RelayingClient}. */
export interface RelayingClientOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Identifies this run of the process. */
  readonly instance: number;
  /** Client for direct connections. */
  readonly direct: BackendClient;
  readonly directory: BackendDirectory;
  readonly paths: BackendPaths;
  readonly relayPeers: RelayPeers;
  readonly peers: PeerNetwork;
  readonly log: EventLog;
}

/** Result of a send by way of other daemons. */
export type RelayOutcome = 'answered' | 'not_connected' | 'no_relay' | 'broken';

type DirectedCall = BackendCall & { readonly backEndId: string };

/** Sends over direct connections or relays. */
export class RelayingClient implements BackendClient {
  /** Sends by way of other daemons since the start, by outcome. */
  readonly outcomes = new Map<RelayOutcome, number>();
  private exchanges = 0;

  constructor(private readonly options: RelayingClientOptions) {}

  get connectionsOpened(): number {
    return this.options.direct.connectionsOpened;
  }

  closeIdleConnections(address: string): void {
    this.options.direct.closeIdleConnections(address);
  }

  async send(call: BackendCall): Promise<BackendResponse> {
    const { direct, directory, paths, relayPeers } = this.options;
    const backEnd = call.backEndId === undefined ? undefined : directory.get(call.backEndId);
    if (backEnd === undefined || !relayPeers.hasOthers) return direct.send(call);
    const directed = { ...call, backEndId: backEnd.id };
    if (!paths.isDirect(backEnd.id)) return this.sendByRelay(directed, backEnd);
    try {
      return await direct.send(call);
    } catch (error) {
      const isUndelivered = error instanceof HttpNotSentError && !call.signal.aborted;
      // A path that counts as direct now leads to a back end that other daemons do not reach either.
      if (!isUndelivered || paths.isDirect(backEnd.id)) throw error;
      return await this.sendByRelay(directed, backEnd);
    }
  }

  private async sendByRelay(call: DirectedCall, backEnd: BackEnd): Promise<BackendResponse> {
    let failure: HttpNotSentError = new HttpNotSentError('no daemon relays to the back end');
    let unconnected = 0;
    for (const relay of this.options.relayPeers.candidates(backEnd, MAX_RELAYS_PER_SEND)) {
      if (call.signal.aborted) throw new HttpNotSentError('request aborted before it was sent');
      try {
        const response = await this.sendBy(relay, call);
        this.count('answered');
        return response;
      } catch (error) {
        if (error instanceof RelayNotConnectedError) {
          unconnected += 1;
          failure = error;
          if (unconnected < MAX_UNCONNECTED_RELAYS) continue;
          break;
        }
        if (!(error instanceof RelayRefusedError)) {
          this.count('broken');
          if (!call.signal.aborted) this.options.relayPeers.avoid(relay.id, 'no_answer');
          throw error;
        }
        this.options.relayPeers.avoid(relay.id, error.reason, backEnd.id);
        failure = new HttpNotSentError(errorMessage(error), { cause: error });
      }
    }
    if (unconnected > 0) this.options.paths.noteDownForOthers(backEnd.id);
    this.count(unconnected > 0 ? 'not_connected' : 'no_relay');
    throw failure;
  }

  private async sendBy(relay: RelayCandidate, call: DirectedCall): Promise<BackendResponse> {
    const { daemon, instance, peers, relayPeers, log } = this.options;
    this.exchanges += 1;
    const exchange = `${daemon} ${String(instance)} ${String(this.exchanges)}`;
    log.changed('request_relayed', { request: call.requestId, backEnd: call.backEndId, relay: relay.id });
    const client = new RelayClient(peers, relay, exchange, relayPeers.begin(relay.id));
    return client.send(call);
  }

  private count(outcome: RelayOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }
}
