/** Checkers of the configuration: monotone revisions, propagation time and number of platform readers. */
import type { CheckerFactory } from './checker.js';

/** Maximum time from acceptance of a change until it is in effect on every daemon. */
export const IN_FORCE_LIMIT_MS = 13_000;
/** Maximum platform readers per zone: the holder of its lease, and one whose lease has just expired. */
const READERS_PER_ZONE = 2;

/** A daemon never serves under an older configuration than before, even after a restart. */
export const configurationMonotone: CheckerFactory = ({ deployment, report }) => {
  const lastApplied = new Map<string, { incarnation: number; revision: number }>();
  const highestServed = new Map<string, number>();
  return {
    onApplied: (slot, incarnation, revision) => {
      const last = lastApplied.get(slot.plan.id);
      if (last?.incarnation === incarnation && revision < last.revision) {
        report(
          'configuration-monotone',
          `${slot.plan.id} went from ${String(last.revision)} to ${String(revision)}`,
        );
      }
      lastApplied.set(slot.plan.id, { incarnation, revision });
    },
    onSecond: () => {
      for (const slot of deployment.daemons.values()) {
        if (!slot.process.alive || !slot.daemon.isReady) continue;
        const { id } = slot.plan;
        const served = highestServed.get(id) ?? 0;
        const revision = slot.daemon.store.revision;
        if (revision < served)
          report('configuration-monotone', `${id} serves ${String(revision)} after ${String(served)}`);
        highestServed.set(id, Math.max(served, revision));
      }
    },
  };
};

/** Times from acceptance of a change until it is in effect on every ready daemon. */
export interface InForceTimes {
  readonly milliseconds: number[];
}

/** An accepted change is in effect on every ready daemon within {@link IN_FORCE_LIMIT_MS} unless a fault interferes. */
export function configurationInForce(times: InForceTimes): CheckerFactory {
  return ({ deployment, faults, report }) => {
    const pending: { readonly revision: number; readonly atMs: number; reported: boolean }[] = [];
    return {
      onAccepted: ({ revision }) => {
        pending.push({ revision, atMs: deployment.world.now, reported: false });
      },
      onApplied: () => {
        const ready = [...deployment.daemons.values()].filter(
          (slot) => slot.process.alive && slot.daemon.isReady,
        );
        const lowest = Math.min(Infinity, ...ready.map((slot) => slot.daemon.store.revision));
        while (pending[0] !== undefined && pending[0].revision <= lowest) {
          times.milliseconds.push(deployment.world.now - pending[0].atMs);
          pending.shift();
        }
      },
      onSecond: () => {
        const now = deployment.world.now;
        for (const change of pending) {
          if (change.reported || now - change.atMs < IN_FORCE_LIMIT_MS) continue;
          const isDisturbed = faults.spans.some(
            (span) =>
              span.fault.type !== 'operator-race' &&
              span.toMs + IN_FORCE_LIMIT_MS > change.atMs &&
              span.fromMs <= now,
          );
          if (isDisturbed) continue;
          change.reported = true;
          report('configuration-in-force', `revision ${String(change.revision)} is not in force after 13 s`);
        }
      },
    };
  };
}

/** At most {@link READERS_PER_ZONE} daemons per zone read the platform. */
export const platformReaders: CheckerFactory = ({ deployment, report }) => {
  const zones = new Set(deployment.plan.daemons.map((daemon) => daemon.zone)).size;
  let highestReported = zones * READERS_PER_ZONE;
  return {
    onSecond: () => {
      const { readers } = deployment.platform;
      if (readers <= highestReported) return;
      highestReported = readers;
      report('platform-readers', `${String(readers)} daemons read the platform`);
    },
  };
};
