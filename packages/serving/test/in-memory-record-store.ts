/** In-memory record store for simulations with several daemons. */
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { RecordEntry, RecordListing, RecordSource, StorePosition, WatchResult } from '../src/index.js';

const RESPONSE_DELAY_MS = 4;
const POLL_INTERVAL_MS = 20;
/** Time after which a caller gives up an unanswered call, in addition to the requested wait. */
const CALL_TIMEOUT_MS = 1000;

interface Change {
  readonly kind: string;
  readonly record: RecordEntry;
  readonly gone: boolean;
}

/** Stores records with their history, and simulates unreachable or unresponsive stores for chosen daemons. */
export class InMemoryRecordStore {
  /** Daemons whose calls fail immediately. */
  readonly unreachableFor = new Set<string>();
  /** Daemons whose calls get no response and time out, including watches in progress. */
  readonly unresponsiveFor = new Set<string>();
  private changes: Change[] = [];
  private kinds = new Map<string, Map<string, RecordEntry>>();
  private readonly calls = new Map<string, number>();
  private revision = 0;
  private era = 0;

  put(kind: string, name: string, value: unknown): RecordEntry {
    this.revision += 1;
    const record = { name, revision: this.revision, value };
    this.ofKind(kind).set(name, record);
    this.changes.push({ kind, record, gone: false });
    return record;
  }

  remove(kind: string, name: string): void {
    const record = this.ofKind(kind).get(name);
    if (record === undefined) return;
    this.revision += 1;
    this.ofKind(kind).delete(name);
    this.changes.push({ kind, record: { ...record, revision: this.revision }, gone: true });
  }

  /** Returns a function that restores the current state: revisions after it are reused and the era is incremented. */
  takeSnapshot(): () => void {
    const { revision } = this;
    const kinds = [...this.kinds].map(([kind, records]) => [kind, new Map(records)] as const);
    return () => {
      this.revision = revision;
      this.kinds = new Map(kinds.map(([kind, records]) => [kind, new Map(records)]));
      this.changes = this.changes.filter(({ record }) => record.revision <= revision);
      this.era += 1;
    };
  }

  /** Returns the daemons that have called since the previous call of this method. */
  takeCallers(): string[] {
    const callers = [...this.calls.keys()];
    this.calls.clear();
    return callers;
  }

  /** Returns the store as seen by one daemon. */
  clientOf(daemon: string, clock: Clock): RecordSource {
    return {
      listAll: (kind) => this.list(daemon, kind, clock),
      watch: (kind, revision, waitMs, signal) => this.watch(daemon, kind, revision, waitMs, signal, clock),
    };
  }

  private async list(daemon: string, kind: string, clock: Clock): Promise<RecordListing> {
    await this.simulateResponse(daemon, clock);
    return { records: [...this.ofKind(kind).values()], at: this.at };
  }

  private get at(): StorePosition {
    return { era: this.era, revision: this.revision };
  }

  private async watch(
    daemon: string,
    kind: string,
    from: number,
    waitMs: number,
    signal: AbortSignal,
    clock: Clock,
  ): Promise<WatchResult> {
    const waitUntil = clock.monotonic() + waitMs;
    for (;;) {
      await this.simulateResponse(daemon, clock, waitUntil + CALL_TIMEOUT_MS);
      if (from > this.revision) return { kind: 'history_gone' };
      const changes = this.changes.filter((change) => change.kind === kind && change.record.revision > from);
      if (changes.length > 0 || clock.monotonic() >= waitUntil) {
        return { kind: 'changes', changes, at: this.at };
      }
      await sleep(clock, POLL_INTERVAL_MS, signal);
      if (signal.aborted) throw new Error('watch aborted');
    }
  }

  private async simulateResponse(
    daemon: string,
    clock: Clock,
    timeoutAt = clock.monotonic() + CALL_TIMEOUT_MS,
  ): Promise<void> {
    await sleep(clock, RESPONSE_DELAY_MS);
    if (this.unreachableFor.has(daemon)) throw new Error('store unreachable');
    if (this.unresponsiveFor.has(daemon)) {
      await sleep(clock, timeoutAt - clock.monotonic());
      throw new Error('call timed out');
    }
    this.calls.set(daemon, (this.calls.get(daemon) ?? 0) + 1);
  }

  private ofKind(kind: string): Map<string, RecordEntry> {
    let records = this.kinds.get(kind);
    if (records === undefined) {
      records = new Map();
      this.kinds.set(kind, records);
    }
    return records;
  }
}
