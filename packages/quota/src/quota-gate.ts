/**
 * Enforces tenants' limits on one daemon. Requests units from the allocator of its own zone first,
 * then from those of the other zones.
 */
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { QuotaOutcome, QuotaUrgency, RequestQuota, TenantQuota } from '@woodbarrow/forwarding';
import type { CallFailures } from '@woodbarrow/observability';
import { MAX_ADAPTIVE_TIMEOUT_MS, OpenCalls, type PeerNetwork } from '@woodbarrow/peering';
import { quotaGrantMethod, type GrantRequest } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';
import { ALLOCATION_TIMEOUT_MS, callAllocator } from './call-allocator.js';
import { PriorityGate } from './priority-gate.js';
import type { UnitCounts } from './priority-usage.js';
import { UnitGate, type GateUsage, type ReceivedGrant, type UnitGateOptions } from './unit-gate.js';
import type { OvershootAllowance } from './unit-share.js';
import { zonesInOrder } from './zone-order.js';

/** Options of {@link QuotaGate}. */
export interface QuotaGateOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Zone of this daemon, whose allocator is called first. */
  readonly zone: string;
  /** Zones of the deployment. */
  readonly zones: readonly string[];
  readonly allowance: OvershootAllowance;
  readonly coordinators: CoordinatorDirectory;
  readonly peers: Pick<PeerNetwork, 'call'>;
  readonly failures: CallFailures;
  readonly clock: Clock;
  /**
   * Spreads the retries of refused requests. If set, units are divided among the priorities of the
   * requests; the allocators must do so too.
   */
  readonly prioritiesWith?: Random;
}

/** A call stays open for as long as its answer may be of use. */
const OPEN_CALL = { timeoutMs: MAX_ADAPTIVE_TIMEOUT_MS, isAdaptive: true };

/** Acquires units of tenants' limits for the requests of one daemon. */
export class QuotaGate implements RequestQuota {
  private readonly gate: UnitGate | PriorityGate;
  private readonly openCalls: OpenCalls<ReceivedGrant>;

  constructor(private readonly options: QuotaGateOptions) {
    const { daemon, allowance, zones, clock, prioritiesWith: random } = options;
    this.openCalls = new OpenCalls(clock);
    const common: UnitGateOptions = {
      allowance,
      allocatorCount: zones.length,
      zonesFor: (tenant: string) => zonesInOrder(options, tenant),
      requestUnits: (zone, tenant, wish, onLate) => this.requestUnits(zone, tenant, wish, onLate),
      clock,
    };
    this.gate = random === undefined ? new UnitGate(common) : new PriorityGate({ ...common, daemon, random });
  }

  acquire(
    tenant: string,
    quota: TenantQuota,
    units: number,
    maxWaitMs: number,
    signal: AbortSignal,
    urgency?: QuotaUrgency,
  ): Promise<QuotaOutcome> {
    return this.gate.acquire(tenant, quota, units, maxWaitMs, signal, urgency);
  }

  /** Returns the units used and refused since the start, by tenant. */
  usage(): ReadonlyMap<string, GateUsage> {
    return this.gate.usage();
  }

  /** Returns the units granted and refused since the start, by `tenant/priority`; empty without priorities. */
  usageByPriority(): ReadonlyMap<string, UnitCounts> {
    return this.gate instanceof PriorityGate ? this.gate.usageByPriority().entries() : new Map();
  }

  private requestUnits(
    zone: string,
    tenant: string,
    wish: GrantRequest,
    onLate: (grant: ReceivedGrant) => void,
  ): Promise<ReceivedGrant | undefined> {
    const subject = [zone, tenant, wish.claim?.id ?? ''].join(' ');
    const call = async (): Promise<ReceivedGrant | undefined> => {
      const askedAt = this.options.clock.elapsed();
      const message = { zone, tenant, ...wish };
      const answer = await callAllocator(this.options, zone, quotaGrantMethod, message, OPEN_CALL);
      return answer === undefined ? undefined : { answer, askedAt };
    };
    return this.openCalls.ask(subject, ALLOCATION_TIMEOUT_MS, call, onLate);
  }
}
