/** Checkers of placement: replica limits, memory commitment and leaving workers. */
import type { CheckerFactory } from './checker.js';

/** Time within which replicas above a lowered limit must be unloaded. */
const LIMIT_LOWERING_GRACE_MS = 60_000;
/** Time for which a leaving worker may still start runs; covers the lag of the machine list and the reaction to it. */
const LEAVING_GRACE_MS = 8000;

interface LimitChange {
  readonly atMs: number;
  readonly maximum: number;
}

/** No model has more loaded replicas than its template allows. */
export const replicaLimit: CheckerFactory = ({ deployment, report }) => {
  const limits = new Map<string, LimitChange[]>();
  for (const tenant of deployment.plan.tenants) {
    for (const model of tenant.parameters.models) {
      limits.set(`${tenant.name}/${model.name}`, [{ atMs: 0, maximum: model.replicas.maximum }]);
    }
  }
  const limitOf = (model: string): number => {
    const changes = limits.get(model) ?? [];
    const now = deployment.world.now;
    const current = changes.at(-1)?.maximum ?? 0;
    const recent = changes.filter(
      (_, index) => (changes[index + 1]?.atMs ?? Infinity) > now - LIMIT_LOWERING_GRACE_MS,
    );
    return Math.max(current, ...recent.map((change) => change.maximum));
  };
  return {
    onAccepted: ({ key, value }) => {
      if (!key.startsWith('templates/') || value === null) return;
      const tenant = key.slice('templates/'.length);
      const { parameters } = value as {
        parameters: { models: { name: string; replicas: { maximum: number } }[] };
      };
      for (const model of parameters.models) {
        const id = `${tenant}/${model.name}`;
        limits.set(id, [
          ...(limits.get(id) ?? []),
          { atMs: deployment.world.now, maximum: model.replicas.maximum },
        ]);
      }
    },
    onEngineChange: () => {
      const counts = new Map<string, number>();
      for (const slot of deployment.workers.values()) {
        if (!slot.process.alive) continue;
        for (const { model } of slot.engine.loaded()) counts.set(model, (counts.get(model) ?? 0) + 1);
      }
      for (const [model, count] of counts) {
        const limit = limitOf(model);
        if (count > limit)
          report('replica-limit', `${model} has ${String(count)} replicas, limit ${String(limit)}`);
      }
    },
  };
};

/** Neither loaded models nor load orders exceed a worker's memory. */
export const memoryCommit: CheckerFactory = ({ deployment, report }) => ({
  onEngineChange: (slot) => {
    const { engine, plan } = slot;
    if (engine.usedGib > engine.memoryGib) {
      report(
        'memory-commit',
        `${plan.id} holds ${String(engine.usedGib)} of ${String(engine.memoryGib)} GiB`,
      );
    }
  },
  onSecond: () => {
    for (const { engine, plan } of deployment.workers.values()) {
      if (engine.record.overcommitsRefused === 0) continue;
      report(
        'memory-commit',
        `${plan.id} refused ${String(engine.record.overcommitsRefused)} orders beyond its memory`,
      );
      engine.record.overcommitsRefused = 0;
    }
  },
});

/** A leaving worker starts no runs after {@link LEAVING_GRACE_MS}. */
export const leavingDrained: CheckerFactory = ({ deployment, report }) => ({
  onRun: (slot, marker) => {
    const since = slot.leavingSinceMs;
    if (since === undefined || deployment.world.now - since <= LEAVING_GRACE_MS) return;
    report(
      'leaving-drained',
      `${slot.plan.id} began ${marker} ${String(deployment.world.now - since)} ms after leaving`,
    );
  },
});
