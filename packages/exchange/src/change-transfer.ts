/**
 * Distributes urgent changes to all daemons: models that became resident on a worker, and notices of back
 * ends. The daemon that observes a change notifies all relays; a relay includes it in its next response to
 * each attached daemon.
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

export interface ChangeTransferOptions {
  readonly selfId: string;
  /** Relays to notify, with their peer addresses. */
  readonly relays: () => readonly { readonly id: string; readonly address: string }[];
  readonly peers: PeerNetwork;
  readonly onChanges: (changes: readonly ResidencyChange[]) => void;
  readonly onBackendNews: (news: readonly BackendNews[]) => void;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** Timeout of a notification to a relay, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 1000;

/** Sends and receives the changes of one daemon. */
export class ChangeTransfer {
  private readonly changes: ChangeLog<ResidencyChange>;
  private readonly news: ChangeLog<BackendNews>;

  constructor(private readonly options: ChangeTransferOptions) {
    this.changes = new ChangeLog(options.clock);
    this.news = new ChangeLog(options.clock);
  }

  /** Registers the request handlers. */
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

  /** Announces a change of residency to all daemons, including this one. */
  announceChange(change: ResidencyChange): void {
    const message = { from: this.options.selfId, changes: [change] };
    this.receiveChanges(message.changes, message.from);
    this.notifyRelays(residencyChangedMethod, message);
  }

  /** Announces a notice of a back end to all other daemons. */
  announceNews(news: BackendNews): void {
    const message = { from: this.options.selfId, news: [news] };
    this.news.add(message.news, message.from);
    this.notifyRelays(backendNewsMethod, message);
  }

  /** Whether an attached daemon has read here recently; otherwise it may have missed changes. */
  hasRecentReader(reader: string): boolean {
    return this.changes.hasRecentReader(reader);
  }

  /** Returns the changes that an attached daemon has not received yet. */
  readFor(reader: string): Pick<AttachAnswer, 'changes' | 'backendNews'> {
    const changes = this.changes.read(reader).map(({ change }) => change);
    const backendNews = this.news.read(reader).map(({ change, ageMs }) => withAge(change, ageMs));
    return backendNews.length === 0 ? { changes } : { changes, backendNews };
  }

  /** Applies changes from the relay that this daemon is attached to. */
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
        .call(relay.address, method, message, { timeoutMs: ANNOUNCE_TIMEOUT_MS, isAdaptive: true })
        .catch((error: unknown) => {
          // The relay learns of the change some seconds later from the workers' own records and responses.
          failures.record(method.name, relay.id, error);
        });
    }
  }
}

function withAge(news: BackendNews, ageMs: number): BackendNews {
  if (news.kind !== 'rate_limit') return news;
  const { rateLimit } = news;
  return { ...news, rateLimit: { ...rateLimit, heardAgoMs: rateLimit.heardAgoMs + ageMs } };
}
