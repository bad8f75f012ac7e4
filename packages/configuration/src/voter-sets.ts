/** Stores voter sets as platform objects and replaces voters that fail. */
import { rankByRendezvous, type VoterSets } from '@woodbarrow/coordination';
import type { Membership } from '@woodbarrow/membership';
import type { PlatformClient } from '@woodbarrow/object-store';
import type { MemberRecord, Voter, VoterSet } from '@woodbarrow/protocol';
import { BackgroundService, type Clock, type Random } from '@woodbarrow/runtime';
import { z } from 'zod';
import type { ConfigurationStore } from './configuration-store.js';

const voterSetSchema = z.object({
  group: z.string(),
  epoch: z.number().int(),
  voters: z.array(z.object({ id: z.string(), address: z.string(), instance: z.number() })),
});

const voterSetsSchema = z.object({ current: voterSetSchema, previous: voterSetSchema.optional() });

/** Returns the platform key of a group's voter sets. */
export function voterSetKey(group: string): string {
  return `voters/${group}`;
}

/** Returns the configured voter sets of a group, or undefined if they are missing or invalid. */
export function readVoterSets(store: ConfigurationStore, group: string): VoterSets | undefined {
  const parsed = voterSetsSchema.safeParse(store.get(voterSetKey(group)));
  if (!parsed.success) return undefined;
  const { current, previous } = parsed.data;
  return previous === undefined ? { current } : { current, previous };
}

/** Options of {@link VoterSetKeeper}. */
export interface VoterSetKeeperOptions {
  readonly group: string;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the members that are eligible as voters. */
  readonly eligibleMembers: () => readonly MemberRecord[];
  /** Number of voters. @default 3 */
  readonly size?: number;
  /** Milliseconds for which a voter must be invalid before it is replaced. @default 4000 */
  readonly replacementDelayMs?: number;
  /** Whether to distribute the voters over as many zones as possible. @default false */
  readonly spreadOverZones?: boolean;
  /** Called after a new voter set was written. */
  readonly onReplaced?: () => Promise<void>;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const DEFAULT_VOTER_COUNT = 3;
const DEFAULT_REPLACEMENT_DELAY_MS = 4000;
/** Delay before the first voter set is created, so that the first members can discover each other. */
const CREATION_DELAY_MS = 1500;
const CHECK_INTERVAL_MS = 1000;

/** Replaces failed voters by compare-and-set in the platform. Only the first-ranked eligible member does so at a time. */
export class VoterSetKeeper extends BackgroundService {
  private replacementDueSince: number | undefined;

  constructor(private readonly options: VoterSetKeeperOptions) {
    super(options.clock, options.onTaskFailure);
  }

  /** Starts the periodic check of the voter set. */
  start(): void {
    this.tasks.loop(
      `voters.${this.options.group}`,
      () => CHECK_INTERVAL_MS,
      () => this.check(),
    );
  }

  private async check(): Promise<void> {
    if (this.options.store.revision === 0 || !this.isResponsible()) {
      this.replacementDueSince = undefined;
      return;
    }
    const sets = readVoterSets(this.options.store, this.options.group);
    const replacement = this.selectReplacement(sets?.current);
    if (replacement === undefined) {
      this.replacementDueSince = undefined;
      return;
    }
    const now = this.options.clock.monotonic();
    this.replacementDueSince ??= now;
    const delayMs =
      sets === undefined
        ? CREATION_DELAY_MS
        : (this.options.replacementDelayMs ?? DEFAULT_REPLACEMENT_DELAY_MS);
    if (now - this.replacementDueSince < delayMs) return;
    this.replacementDueSince = undefined;
    await this.replace(sets?.current, replacement);
  }

  /** Whether this daemon is the first-ranked eligible member. When that member fails, the next one becomes responsible. */
  private isResponsible(): boolean {
    const ranked = rankByRendezvous(this.options.group, this.options.eligibleMembers());
    return ranked[0]?.id === this.options.membership.local.id;
  }

  /** Returns the voters of the next set, or undefined if the current set needs no change. */
  private selectReplacement(current: VoterSet | undefined): readonly Voter[] | undefined {
    const electorate = this.options.eligibleMembers();
    const size = Math.min(this.options.size ?? DEFAULT_VOTER_COUNT, electorate.length);
    const byId = new Map(electorate.map((member) => [member.id, member]));
    const valid = (current?.voters ?? []).filter((voter) => byId.get(voter.id)?.instance === voter.instance);
    const areAllValid = valid.length === (current?.voters.length ?? 0);
    if (areAllValid && valid.length >= size) return undefined;
    const validIds = new Set(valid.map((voter) => voter.id));
    const candidates = rankByRendezvous(this.options.group, electorate).filter(
      (member) => !validIds.has(member.id),
    );
    const coveredZones = valid.flatMap((voter) => byId.get(voter.id)?.zone ?? []);
    const ordered =
      this.options.spreadOverZones === true ? orderUncoveredZonesFirst(candidates, coveredZones) : candidates;
    const added = ordered.slice(0, Math.max(0, size - valid.length)).map(({ id, address, instance }) => ({
      id,
      address,
      instance,
    }));
    return [...valid, ...added];
  }

  private async replace(current: VoterSet | undefined, voters: readonly Voter[]): Promise<void> {
    const { group, store, platform, random } = this.options;
    const key = voterSetKey(group);
    const next: VoterSet = { group, epoch: (current?.epoch ?? 0) + 1, voters };
    const value: VoterSets = current === undefined ? { current: next } : { current: next, previous: current };
    await platform.write({
      key,
      value: { ...value },
      expectedRevision: store.revisionOf(key),
      operationId: random.id(),
    });
    await this.options.onReplaced?.();
  }
}

/** Orders one member of each zone without a voter before all other members. */
function orderUncoveredZonesFirst(
  members: readonly MemberRecord[],
  coveredZones: readonly string[],
): MemberRecord[] {
  const covered = new Set(coveredZones);
  const first: MemberRecord[] = [];
  const rest: MemberRecord[] = [];
  for (const member of members) {
    if (covered.has(member.zone)) rest.push(member);
    else first.push(member);
    covered.add(member.zone);
  }
  return [...first, ...rest];
}
