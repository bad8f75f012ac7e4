/**
 * Changes that all daemons are to know soon: what has become resident on a worker, and what back ends say of themselves. Whoever sees one
 * tells all relays; a relay passes it on with its next answer to each daemon attached to it.
 */
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  backendNewsMethod,
  residencyChangedMethod,
  type AttachAnswer,
  type BackendNews,
  type PeerMethod,
  type ResidencyChange,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { ChangeLog } from './change-log.js';

/** Options of {@link ChangeTransfer}. */
export interface ChangeTransferOptions {
  readonly selfId: string;
  /** Relays to tell, by name and peer address. */
  readonly relays: () => readonly { readonly id: string; readonly address: string }[];
  readonly peers: PeerNetwork;
  readonly onChanges: (changes: readonly ResidencyChange[]) => void;
  readonly onBackendNews: (news: readonly BackendNews[]) => void;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** Time for which a relay may take to hear of a change, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 1000;

/** Transfer between one daemon and the others. */
export class ChangeTransfer {
  private readonly changes: ChangeLog<ResidencyChange>;
  private readonly news: ChangeLog<BackendNews>;

  constructor(private readonly options: ChangeTransferOptions) {
    this.changes = new ChangeLog(options.clock);
    this.news = new ChangeLog(options.clock);
  }

  /** Starts listening. */
  start(): void {
    const { peers } = this.options;
    peers.handle(residencyChangedMethod, ({ from, changes }) => {
      this.receiveChanges(changes, from);
      return {};
    });
    peers.handle(backendNewsMethod, ({ from, news }) => {
      this.receiveNews(news, from);
      return {};
    });
  }

  /** Tells all daemons of a change of residency; this one is told as well. */
  announceChange(change: ResidencyChange): void {
    const message = { from: this.options.selfId, changes: [change] };
    this.receiveChanges(message.changes, message.from);
    this.notifyRelays(residencyChangedMethod, message);
  }

  /** Tells all other daemons what a back end said to this one. */
  announceNews(news: BackendNews): void {
    const message = { from: this.options.selfId, news: [news] };
    this.news.add(message.news, message.from);
    this.notifyRelays(backendNewsMethod, message);
  }

  /** Whether an attached daemon has read here lately; else it may lack what others have been told. */
  hasRecentReader(reader: string): boolean {
    return this.changes.hasRecentReader(reader);
  }

  /** What an attached daemon has not yet been told. */
  readFor(reader: string): Pick<AttachAnswer, 'changes' | 'backendNews'> {
    const changes = this.changes.read(reader).map(({ change }) => change);
    const backendNews = this.news.read(reader).map(({ change, ageMs }) => withAge(change, ageMs));
    return backendNews.length === 0 ? { changes } : { changes, backendNews };
  }

  /** Takes what the relay that this daemon is attached to told. */
  receive({ changes, backendNews = [] }: Pick<AttachAnswer, 'changes' | 'backendNews'>): void {
    this.options.onChanges(changes);
    if (backendNews.length > 0) this.options.onBackendNews(backendNews);
  }

  private receiveChanges(changes: readonly ResidencyChange[], from: string): void {
    this.changes.add(changes, from);
    this.options.onChanges(changes);
  }

  private receiveNews(news: readonly BackendNews[], from: string): void {
    this.news.add(news, from);
    this.options.onBackendNews(news);
  }

  private notifyRelays<Message>(method: PeerMethod<Message, Record<string, never>>, message: Message): void {
    const { relays, peers, failures } = this.options;
    for (const relay of relays()) {
      peers
        .call(relay.address, method, message, { timeoutMs: ANNOUNCE_TIMEOUT_MS })
        .catch((error: unknown) => {
          // Workers' own records and answers tell it some seconds later.
          failures.note(method.name, relay.id, error);
        });
    }
  }
}

function withAge(news: BackendNews, ageMs: number): BackendNews {
  if (news.kind !== 'rate_limit') return news;
  const { rateLimit } = news;
  return { ...news, rateLimit: { ...rateLimit, heardAgoMs: rateLimit.heardAgoMs + ageMs } };
}
