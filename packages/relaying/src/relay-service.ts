/** The side of a relay: sends requests of other daemons to back ends and hands over the responses. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { CallContext, PeerNetwork } from '@woodbarrow/peering';
import {
  relayCancelMethod,
  relayProbeMethod,
  relayReadMethod,
  relayStartMethod,
  type RelayProbeAnswer,
  type RelayProbeMessage,
  type RelayRefusal,
  type RelayStartAnswer,
  type RelayStartMessage,
} from '@woodbarrow/protocol';
import type { ProcessProbe } from '@woodbarrow/quarantine';
import type { BackendClient, Clock } from '@woodbarrow/runtime';
import type { BackendPaths } from './backend-paths.js';
import { RelayedExchange, type ResponseHead } from './relayed-exchange.js';

/** Exchanges that a relay carries at the same time; each holds at most one piece of a response in memory. */
const MAX_EXCHANGES = 200;

/** Time for which a removed back end can still be probed, in milliseconds: answers that it left incomplete are judged after that. */
const REMOVED_RETENTION_MS = 60_000;

/** Permission to use a back end for one exchange. */
export interface RelayPermit {
  end(): void;
}

/** Options of {@link RelayService}. */
export interface RelayServiceOptions {
  readonly directory: BackendDirectory;
  readonly paths: BackendPaths;
  /** Client for direct connections. */
  readonly client: BackendClient;
  readonly probe: ProcessProbe;
  readonly peers: PeerNetwork;
  /** Acquires permission under the pause that a back end has asked this daemon for; undefined during one. */
  readonly acquire: (backEnd: BackEnd) => RelayPermit | undefined;
  /** Called with the head of each response. `sentAt` is the monotonic time of the send. */
  readonly onHead: (backEnd: BackEnd, requestId: string, head: ResponseHead, sentAt: number) => void;
  readonly isStopping: () => boolean;
  readonly clock: Clock;
}

/** Counters since the start, and a gauge. */
export interface RelayTotals {
  readonly inProgress: number;
  readonly accepted: number;
  readonly refused: ReadonlyMap<RelayRefusal, number>;
}

/** Relays requests for daemons that have lost their direct paths. Never relays by way of a third daemon. */
export class RelayService {
  private readonly exchanges = new Map<string, RelayedExchange>();
  /** Back ends that left the directory lately, with the monotonic time. */
  private readonly removed = new Map<string, { readonly backEnd: BackEnd; readonly at: number }>();
  private accepted = 0;
  private readonly refused = new Map<RelayRefusal, number>();

  constructor(private readonly options: RelayServiceOptions) {}

  /** Registers the message handlers. */
  start(): void {
    const { peers, directory } = this.options;
    directory.events.on('removed', (backEnd) => {
      this.retainRemoved(backEnd);
    });
    peers.handle(relayStartMethod, (message, context) => this.onStart(message, context));
    peers.handle(relayReadMethod, ({ exchange, waitMs }) => this.exchangeOf(exchange).read(waitMs));
    peers.handle(relayCancelMethod, ({ exchange }) => {
      this.exchanges.get(exchange)?.cancel();
      return {};
    });
    peers.handle(relayProbeMethod, (message) => this.onProbe(message));
  }

  /** Number of exchanges in progress. */
  get inProgress(): number {
    return this.exchanges.size;
  }

  get totals(): RelayTotals {
    return { inProgress: this.inProgress, accepted: this.accepted, refused: this.refused };
  }

  private onStart(message: RelayStartMessage, { disconnected }: CallContext): RelayStartAnswer {
    const { directory, paths, client, clock, isStopping, acquire, onHead } = this.options;
    const backEnd = directory.get(message.backEndId);
    if (isStopping()) return this.refuse('stopping');
    if (paths.isIsolated) return this.refuse('isolated');
    if (backEnd === undefined || !paths.isDirect(backEnd.id)) return this.refuse('no_path');
    if (this.exchanges.size >= MAX_EXCHANGES) return this.refuse('busy');
    const permit = acquire(backEnd);
    if (permit === undefined) return this.refuse('paused');
    this.accepted += 1;
    const sentAt = clock.monotonic();
    const exchange = new RelayedExchange({
      message,
      address: backEnd.address,
      client,
      disconnected,
      onHead: (head) => {
        onHead(backEnd, message.requestId, head, sentAt);
      },
      onClosed: () => {
        this.exchanges.delete(message.exchange);
        permit.end();
      },
      clock,
    });
    this.exchanges.set(message.exchange, exchange);
    exchange.start();
    return {};
  }

  private refuse(refusal: RelayRefusal): RelayStartAnswer {
    this.refused.set(refusal, (this.refused.get(refusal) ?? 0) + 1);
    return { refusal };
  }

  private exchangeOf(id: string): RelayedExchange {
    const exchange = this.exchanges.get(id);
    if (exchange === undefined) throw new WoodbarrowError('not_found', `no relayed exchange ${id}`);
    return exchange;
  }

  private retainRemoved(backEnd: BackEnd): void {
    const now = this.options.clock.monotonic();
    for (const [id, { at }] of this.removed) if (now - at > REMOVED_RETENTION_MS) this.removed.delete(id);
    this.removed.set(backEnd.id, { backEnd, at: now });
  }

  /** A lost path to this one back end is no reason not to probe: the process may have ended. */
  private async onProbe({ backEndId }: RelayProbeMessage): Promise<RelayProbeAnswer> {
    const { directory, paths, probe } = this.options;
    if (paths.isIsolated) return { isIsolated: true };
    const backEnd = directory.get(backEndId) ?? this.removed.get(backEndId)?.backEnd;
    if (backEnd === undefined) return {};
    return { result: await probe.probe(backEnd) };
  }
}
