/**
 * Lends unused shares of back ends between daemons. Shares are equal, but clients may be not: most connections may arrive at one daemon. The
 * shares of all daemons together stay the same: a lender does without what it has lent until the loan has surely ended.
 */
import type { ShareLoans } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { lendSharesMethod, type LendSharesAnswer, type LendSharesMessage } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';

/** Time from the request for a loan to its end at the borrower, in milliseconds. */
const LOAN_MS = 400;
/** Time for which the lender does without a loan; exceeds {@link LOAN_MS} so that clocks of different speed do not matter. */
const LENT_MS = 500;
/** Interval between requests for loans while shares are short, in milliseconds. */
const ASK_INTERVAL_MS = 150;
/** Time for which a shortage counts after it was last noticed, in milliseconds. */
const SHORTAGE_MS = 300;
const ASK_TIMEOUT_MS = 200;
/** Maximum number of daemons asked at a time. */
const MAX_LENDERS = 8;
/** Maximum number of back ends in one request for loans. */
const MAX_BACK_ENDS = 32;

/** A daemon that may lend. */
export interface Lender {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
}

/** Options of {@link ShareLoanService}. */
export interface ShareLoanOptions {
  readonly daemon: string;
  /** Returns the daemons present; this one may be among them. */
  readonly members: () => readonly Lender[];
  /** Returns the part of this daemon's own share of a back end that it does not use. */
  readonly spareOf: (backEndId: string) => number;
  /** Called when loans have arrived. */
  readonly onBorrowed: () => void;
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Loans from or to one daemon. */
interface Loan {
  /** Monotonic time in milliseconds. */
  readonly endsAt: number;
  readonly requests: ReadonlyMap<string, number>;
}

/** Requests borrowed and lent now, and counts since the start. */
export interface ShareLoanTotals {
  readonly borrowed: number;
  readonly lent: number;
  /** Loans that this daemon received. */
  readonly received: number;
}

/** Loans of one daemon. */
export class ShareLoanService implements ShareLoans {
  /** By lender. */
  private readonly fromOthers = new Map<string, Loan>();
  /** By borrower. A former loan counts until its end beside the latest, whose answer the borrower may not have received. */
  private readonly toOthers = new Map<string, readonly Loan[]>();
  /** Monotonic time at which the own share of each back end was last found in use. */
  private readonly shortAt = new Map<string, number>();
  private isAskScheduled = false;
  private askedAt = -Infinity;
  private received = 0;

  constructor(private readonly options: ShareLoanOptions) {}

  /** Starts handling requests for loans. The peer network must be listening. */
  start(): void {
    this.options.peers.handle(lendSharesMethod, (message) => this.lend(message));
  }

  get totals(): ShareLoanTotals {
    const borrowed = this.active([...this.fromOthers.values()]);
    const lent = [...this.toOthers.values()].flatMap((loans) => this.active(loans).slice(-1));
    return { borrowed: sumOf(borrowed), lent: sumOf(lent), received: this.received };
  }

  borrowed(backEndId: string): number {
    if (this.fromOthers.size === 0) return 0;
    const loans = this.active([...this.fromOthers.values()]);
    if (loans.length === 0) this.fromOthers.clear();
    return loans.reduce((sum, { requests }) => sum + (requests.get(backEndId) ?? 0), 0);
  }

  lent(backEndId: string): number {
    return this.lentExceptTo(undefined, backEndId);
  }

  noteShortage(backEndId: string): void {
    this.shortAt.set(backEndId, this.options.clock.monotonic());
    this.scheduleAsk();
  }

  private scheduleAsk(): void {
    if (this.isAskScheduled) return;
    this.isAskScheduled = true;
    const { clock } = this.options;
    const delayMs = Math.max(0, this.askedAt + ASK_INTERVAL_MS - clock.monotonic());
    clock.schedule(delayMs, () => {
      this.isAskScheduled = false;
      this.ask();
    });
  }

  /** Asks some of the other daemons for loans at the back ends that are short, and again until none is. */
  private ask(): void {
    const { clock, random, members, daemon } = this.options;
    const now = clock.monotonic();
    this.askedAt = now;
    const oldest = now - SHORTAGE_MS;
    for (const [backEndId, at] of this.shortAt) if (at < oldest) this.shortAt.delete(backEndId);
    const backEndIds = [...this.shortAt.keys()].slice(0, MAX_BACK_ENDS);
    if (backEndIds.length === 0) return;
    const others = members().filter(({ id }) => id !== daemon);
    // Daemons that have lent before are asked first, so that their loans are renewed and not only others' added.
    const known = others.filter(({ id }) => this.fromOthers.has(id));
    const unknown = random.shuffle(others.filter(({ id }) => !this.fromOthers.has(id)));
    const lenders = [...known, ...unknown].slice(0, MAX_LENDERS);
    for (const lender of lenders) void this.askLender(lender, backEndIds, now);
    this.scheduleAsk();
  }

  private async askLender(lender: Lender, backEndIds: readonly string[], askedAt: number): Promise<void> {
    const { daemon, peers, failures, onBorrowed } = this.options;
    try {
      const message = { from: daemon, backEndIds };
      const { lent } = await peers.call(lender.address, lendSharesMethod, message, {
        timeoutMs: ASK_TIMEOUT_MS,
      });
      const requests = new Map(lent.map((share) => [share.backEndId, share.requests]));
      if (requests.size === 0) {
        this.fromOthers.delete(lender.id);
        return;
      }
      this.logFirst(lender, backEndIds);
      this.fromOthers.set(lender.id, { endsAt: askedAt + LOAN_MS, requests });
      this.received += 1;
      onBorrowed();
    } catch (error) {
      // The former loan ends by itself; other daemons are asked at the same time.
      failures.record('lend_shares', lender.id, error);
    }
  }

  /** Logs the first loan after a time without loans. */
  private logFirst({ id }: Lender, backEndIds: readonly string[]): void {
    if (this.active([...this.fromOthers.values()]).length > 0) return;
    this.fromOthers.clear();
    this.options.log.changed('shares_borrowed', { lender: id, backEnds: backEndIds.length });
  }

  /** Lends what this daemon does not use and has not lent to others. */
  private lend({ from, backEndIds }: LendSharesMessage): LendSharesAnswer {
    const { clock, spareOf } = this.options;
    const now = clock.monotonic();
    const lent = backEndIds.slice(0, MAX_BACK_ENDS).flatMap((backEndId) => {
      const isShort = (this.shortAt.get(backEndId) ?? -Infinity) >= now - SHORTAGE_MS;
      const requests = isShort ? 0 : spareOf(backEndId) - this.lentExceptTo(from, backEndId);
      return requests > 0 ? [{ backEndId, requests }] : [];
    });
    const requests = new Map(lent.map((share) => [share.backEndId, share.requests]));
    const former = this.active(this.toOthers.get(from) ?? []);
    this.toOthers.set(from, [...former, { endsAt: now + LENT_MS, requests }]);
    return { lent };
  }

  /** Requests lent to all borrowers but one. */
  private lentExceptTo(exempt: string | undefined, backEndId: string): number {
    let sum = 0;
    for (const [borrower, loans] of this.toOthers) {
      if (borrower === exempt) continue;
      const active = this.active(loans);
      if (active.length === 0) this.toOthers.delete(borrower);
      else sum += Math.max(...active.map(({ requests }) => requests.get(backEndId) ?? 0));
    }
    return sum;
  }

  private active(loans: readonly Loan[]): Loan[] {
    const now = this.options.clock.monotonic();
    return loans.filter(({ endsAt }) => endsAt > now);
  }
}

function sumOf(loans: readonly Loan[]): number {
  return loans.flatMap(({ requests }) => [...requests.values()]).reduce((sum, count) => sum + count, 0);
}
