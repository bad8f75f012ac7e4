/** Finds the holder of a lease by asking its voters. */
import { describeLeaseMethod, type DescribeLeaseResponse } from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock } from '@woodbarrow/runtime';
import type { VoterSets } from './lease-candidate.js';
import { callVoters } from './voter-calls.js';

/** Holder of a lease. */
export interface LeaseHolder {
  readonly id: string;
  readonly address: string;
}

interface CachedHolder {
  readonly holder: LeaseHolder;
  readonly until: number;
}

const LOOKUP_TIMEOUT_MS = 500;

/** Looks up lease holders and caches them for the remaining time that the voters report. */
export class LeaseLocator {
  private readonly cache = new Map<string, CachedHolder>();

  constructor(
    private readonly peers: PeerNetwork,
    private readonly clock: Clock,
    private readonly voterSets: (group: string) => VoterSets | undefined,
  ) {}

  /** Returns the holder that a majority of voters reports; undefined without such a majority. */
  async find(group: string): Promise<LeaseHolder | undefined> {
    const cached = this.cache.get(group);
    if (cached !== undefined && cached.until > this.clock.elapsed()) return cached.holder;
    const set = this.voterSets(group)?.current;
    if (set === undefined) return undefined;
    const answers = await callVoters(
      this.peers,
      set,
      describeLeaseMethod,
      () => ({ group }),
      LOOKUP_TIMEOUT_MS,
      (received) => received.some((answer) => isNamedByMajority(received, answer, set.voters.length)),
    );
    const named = answers.find((answer) => isNamedByMajority(answers, answer, set.voters.length));
    if (named?.holder === undefined || named.holderAddress === undefined) return undefined;
    const holder = { id: named.holder, address: named.holderAddress };
    this.cache.set(group, { holder, until: this.clock.elapsed() + named.remainingMs });
    return holder;
  }

  /** Removes a cached holder that has turned out to be stale. */
  forget(group: string): void {
    this.cache.delete(group);
  }
}

function isNamedByMajority(
  answers: readonly DescribeLeaseResponse[],
  candidate: DescribeLeaseResponse,
  voterCount: number,
): boolean {
  if (candidate.holder === undefined) return false;
  const same = answers.filter(
    (answer) => answer.holder === candidate.holder && answer.epoch === candidate.epoch,
  );
  return same.length * 2 > voterCount;
}
