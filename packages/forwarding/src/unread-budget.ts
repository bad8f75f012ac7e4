/**
 * Decides how much memory of a daemon unread answers may take: which answers are paused (no more is read from the worker) and
 * which are ended. Without I/O; times are monotonic, in milliseconds.
 *
 * Load it addresses: clients that stop reading on many connections at once, beside clients that keep up. Each answer holds up
 * to the bound of its stream (16 KiB and a chunk of up to 64 KiB); the machines have 210 to 602 MB, so that 2,000 such answers
 * use up the smallest.
 */

/**
 * Share of the machine's memory that unread answers may take. An idle daemon takes about 41 MB, and request bodies, records
 * and garbage between two collections need a multiple of that under load; an eighth is 26 MB on the smallest machine (210 MB).
 */
const MEMORY_SHARE = 1 / 8;
const BYTES_PER_MB = 1024 * 1024;

/** Share of the budget above which lagging answers of callers over their share are paused; the rest is for other callers. */
const PAUSE_SHARE = 0.5;
/** Share of the budget above which all lagging answers are paused, so that the last quarter is left for new answers. */
const PAUSE_ALL_SHARE = 0.75;
/** Multiple of the budget above which an answer is ended without {@link END_STALL_MS}; running out of memory ends them all. */
const EXCESS_RATIO = 1.25;
/**
 * Time without an empty send buffer after which a client counts as lagging. The pause targets of streams are 200 ms, so a
 * client that keeps up has read everything between two events. Lagging clients alone are paused, because workers cut off
 * answers that stay unread for some seconds.
 */
const LAG_MS = 500;
/** Time without progress after which an answer may be ended; clients that pause for a second or two go on. */
const END_STALL_MS = 3000;
/** Times without progress count as equal within this time; the answer with the most unread bytes then goes first. */
const STALL_STEP_MS = 1000;

/** Returns the budget of a machine, in bytes. @param memoryMb Memory of the machine in MB. */
export function unreadBudgetBytes(memoryMb: number): number {
  return memoryMb * MEMORY_SHARE * BYTES_PER_MB;
}

/** Answer in the budget. */
export interface UnreadAnswer {
  /** Tenant or client that the bytes are charged to. */
  readonly caller: string;
  /** Bytes that the client had not read when last recorded. */
  readonly unreadBytes: number;
  /** Time at which the client last read something. */
  readonly progressAt: number;
}

class BudgetEntry implements UnreadAnswer {
  unreadBytes = 0;
  /** Last time at which nothing was unread. */
  emptyAt: number;

  constructor(
    readonly caller: string,
    public progressAt: number,
  ) {
    this.emptyAt = progressAt;
  }

  isLagging(now: number): boolean {
    return this.unreadBytes > 0 && now - this.emptyAt > LAG_MS;
  }
}

/** Budget of one daemon. */
export class UnreadBudget {
  private readonly backlog = new Set<BudgetEntry>();
  private readonly bytesByCaller = new Map<string, number>();
  private totalBytes = 0;

  /** @param budgetBytes Bytes that the answers of all callers may hold together. */
  constructor(readonly budgetBytes: number) {}

  /** Unread bytes of all answers. */
  get unreadBytes(): number {
    return this.totalBytes;
  }

  /** Adds an answer with nothing unread. */
  open(caller: string, now: number): UnreadAnswer {
    return new BudgetEntry(caller, now);
  }

  /** Records the unread bytes of an answer. @param writtenBytes Bytes written since they were last recorded. */
  record(answer: UnreadAnswer, unreadBytes: number, writtenBytes: number, now: number): void {
    const entry = answer as BudgetEntry;
    const wasEmpty = entry.unreadBytes === 0;
    if (wasEmpty || unreadBytes === 0) entry.emptyAt = now;
    if (wasEmpty || unreadBytes < entry.unreadBytes + writtenBytes) entry.progressAt = now;
    this.charge(entry, unreadBytes);
  }

  /** Removes an answer. */
  close(answer: UnreadAnswer): void {
    this.charge(answer as BudgetEntry, 0);
  }

  /** Whether more of an answer may be read from its worker. Always true for a client that keeps up. */
  mayRead(answer: UnreadAnswer, now: number): boolean {
    if (!(answer as BudgetEntry).isLagging(now)) return true;
    if (this.totalBytes > this.budgetBytes * PAUSE_ALL_SHARE) return false;
    const pauseBytes = this.budgetBytes * PAUSE_SHARE;
    return this.totalBytes <= pauseBytes || !this.isOverShare(answer, pauseBytes);
  }

  /**
   * Returns the answer to end while the budget is exceeded: of a caller over its share if there is one, then the one without
   * progress for the longest, then the one with the most unread bytes. Never one of a client that keeps up.
   */
  answerToEnd(now: number): UnreadAnswer | undefined {
    if (this.totalBytes <= this.budgetBytes) return undefined;
    const minimumStallMs = this.totalBytes > this.budgetBytes * EXCESS_RATIO ? 0 : END_STALL_MS;
    let worst: BudgetEntry | undefined;
    for (const entry of this.backlog) {
      if (!entry.isLagging(now) || now - entry.progressAt < minimumStallMs) continue;
      if (worst === undefined || this.compare(entry, worst, now) > 0) worst = entry;
    }
    return worst;
  }

  /** Returns a positive number if the left answer is ended before the right one. */
  private compare(left: BudgetEntry, right: BudgetEntry, now: number): number {
    const shareOrder =
      Number(this.isOverShare(left, this.budgetBytes)) - Number(this.isOverShare(right, this.budgetBytes));
    if (shareOrder !== 0) return shareOrder;
    const stallOrder = stallSteps(left, now) - stallSteps(right, now);
    return stallOrder === 0 ? left.unreadBytes - right.unreadBytes : stallOrder;
  }

  /** Whether a caller holds more than an equal part of the given bytes among the callers with unread answers. */
  private isOverShare({ caller }: UnreadAnswer, bytes: number): boolean {
    return (this.bytesByCaller.get(caller) ?? 0) > bytes / Math.max(1, this.bytesByCaller.size);
  }

  private charge(entry: BudgetEntry, unreadBytes: number): void {
    const callerBytes = (this.bytesByCaller.get(entry.caller) ?? 0) + unreadBytes - entry.unreadBytes;
    this.totalBytes += unreadBytes - entry.unreadBytes;
    entry.unreadBytes = unreadBytes;
    if (callerBytes > 0) this.bytesByCaller.set(entry.caller, callerBytes);
    else this.bytesByCaller.delete(entry.caller);
    if (unreadBytes > 0) this.backlog.add(entry);
    else this.backlog.delete(entry);
  }
}

function stallSteps({ progressAt }: BudgetEntry, now: number): number {
  return Math.floor((now - progressAt) / STALL_STEP_MS);
}
