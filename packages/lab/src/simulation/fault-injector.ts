/** Injects faults into a simulated deployment and ends them after their duration. */
import { Random, encodeText, readJson, type SimulatedProcess } from '@woodbarrow/runtime';
import type { PlannedFault } from './fault-plan.js';
import type { SimulatedDeployment } from './simulated-deployment.js';

const SLOW_PLATFORM_DELAY_MS = 2500;
const LOST_RESPONSE_SHARE = 0.7;
const WEIGHT_STORE_SLOWDOWN = 5;

/** The interval of virtual time in which a fault was active. */
export interface FaultSpan {
  readonly fault: PlannedFault;
  readonly fromMs: number;
  readonly toMs: number;
  readonly target: string;
}

/** Schedules planned faults and records when and where each was active. */
export class FaultInjector {
  /** Faults that have started. */
  readonly spans: FaultSpan[] = [];
  private platformOutageCount = 0;

  constructor(private readonly deployment: SimulatedDeployment) {}

  /** Schedules all faults; their times count from `startMs` after now. */
  schedule(faults: readonly PlannedFault[], startMs: number): void {
    for (const fault of faults) {
      this.deployment.world.schedule(startMs + fault.atMs, () => {
        this.begin(fault);
      });
    }
  }

  private begin(fault: PlannedFault): void {
    const { world } = this.deployment;
    const random = new Random(fault.seed);
    const target = fault.target ?? this.drawTarget(fault, random);
    world.record(`fault ${fault.type} on ${target} for ${String(Math.round(fault.durationMs))} ms`);
    this.spans.push({ fault, target, fromMs: world.now, toMs: world.now + fault.durationMs });
    this.inject(fault, target, random);
  }

  private drawTarget(fault: PlannedFault, random: Random): string {
    const { daemons, workers } = this.deployment;
    if (fault.type.endsWith('worker')) {
      const alive = [...workers.values()].filter((slot) => !slot.gone && slot.leavingSinceMs === undefined);
      return random.pick(alive)?.plan.id ?? '';
    }
    if (fault.type === 'cut-zone') {
      const zones = [...new Set([...daemons.values()].map((slot) => slot.plan.zone))];
      return random.pick(zones) ?? '';
    }
    if (fault.type === 'operator-race') return random.pick(this.deployment.plan.tenants)?.name ?? '';
    const isDaemonFault = fault.type.endsWith('daemon') || fault.type === 'cut-one-way';
    return isDaemonFault ? (random.pick([...daemons.keys()]) ?? '') : 'platform';
  }

  private inject(fault: PlannedFault, target: string, random: Random): void {
    const { deployment } = this;
    const { platform, weights } = deployment;
    switch (fault.type) {
      case 'kill-daemon':
        deployment.killDaemon(target, fault.durationMs);
        return;
      case 'drain-daemon':
        void deployment.drainDaemon(target, fault.durationMs);
        return;
      case 'pause-daemon':
        deployment.pauseDaemon(target, fault.durationMs);
        return;
      case 'kill-worker':
        deployment.killWorker(target, fault.durationMs);
        return;
      case 'reclaim-worker':
        deployment.reclaimWorker(target, fault.durationMs);
        return;
      case 'cut-zone':
        this.cutConnections(fault, (from, to) => (from.zone === target) !== (to.zone === target));
        return;
      case 'cut-daemon':
        this.cutConnections(fault, (from, to) => from.name === target || to.name === target);
        return;
      case 'cut-one-way':
        this.cutConnections(fault, (from) => from.name === target);
        return;
      case 'platform-down':
        this.platformOutageCount += 1;
        platform.faults.down = true;
        this.scheduleEnd(fault, () => {
          this.platformOutageCount -= 1;
          platform.faults.down = this.platformOutageCount > 0;
        });
        return;
      case 'platform-slow':
        platform.faults.delayMs = SLOW_PLATFORM_DELAY_MS;
        this.scheduleEnd(fault, () => {
          platform.faults.delayMs = 0;
        });
        return;
      case 'platform-loses-answers':
        platform.faults.loseAnswerShare = LOST_RESPONSE_SHARE;
        this.scheduleEnd(fault, () => {
          platform.faults.loseAnswerShare = 0;
        });
        return;
      case 'weight-store-slow':
        weights.slowdown = WEIGHT_STORE_SLOWDOWN;
        this.scheduleEnd(fault, () => {
          weights.slowdown = 1;
        });
        return;
      case 'operator-race':
        void this.raceOperators(target, random);
    }
  }

  /** Cuts traffic between daemons, engines and the platform; callers can still reach their daemon. */
  private cutConnections(
    fault: PlannedFault,
    predicate: (from: SimulatedProcess, to: SimulatedProcess) => boolean,
  ): void {
    const { deployment } = this;
    const restoreConnections = deployment.network.cut(
      (from, to) => !deployment.isClient(from) && !deployment.isClient(to) && predicate(from, to),
    );
    this.scheduleEnd(fault, restoreConnections);
  }

  private scheduleEnd(fault: PlannedFault, end: () => void): void {
    this.deployment.world.schedule(fault.durationMs, end);
  }

  /** Changes one parameter concurrently at two daemons, from the same revision. */
  private async raceOperators(tenant: string, random: Random): Promise<void> {
    const { deployment } = this;
    const plan = deployment.plan.tenants.find((candidate) => candidate.name === tenant);
    const token = deployment.plan.operatorTokens.get(plan?.partner ?? '') ?? '';
    const ids = random.shuffle([...deployment.daemons.keys()]).slice(0, 2);
    await Promise.all(ids.map((id, index) => this.changeQueueLimit(id, tenant, token, 400 + index)));
  }

  private async changeQueueLimit(
    daemonId: string,
    tenant: string,
    token: string,
    value: number,
  ): Promise<void> {
    const { deployment } = this;
    const slot = deployment.slot(daemonId);
    const http = deployment.clientIn(slot.plan.zone);
    const call = { origin: deployment.operatorOrigin(daemonId), path: `/templates/${tenant}` };
    const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' };
    try {
      const shown = await http.send({ ...call, method: 'GET', headers, timeoutMs: 5000 });
      const { revision } = (await readJson(shown.body)) as { revision?: number };
      const body = encodeText(JSON.stringify({ parameters: { limits: { queuedRequests: value } } }));
      const withMatch = { ...headers, 'if-match': String(revision) };
      await http.send({ ...call, method: 'PATCH', headers: withMatch, body, timeoutMs: 20_000 });
    } catch {
      // The daemon may be down or cut off; the race then has only one writer or none.
    }
  }
}
