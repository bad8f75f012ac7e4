/** Conversion of load reports to and from their form in messages. */
import type { LoadReport } from '@woodbarrow/backends';
import type { RelayedClaim, StateReport } from '@woodbarrow/protocol';

/** Converts a load report and claims to a message. */
export function toStateReport({ loads, demand }: LoadReport, claims: readonly RelayedClaim[]): StateReport {
  return {
    loads: loads.map((load) => ({
      b: load.backEndId,
      t: load.target,
      r: load.requests,
      u: load.unreadTokens,
      h: load.heldTokens,
      e: Math.round(load.endsInMs),
    })),
    demand: demand.map(({ model, weight }) => ({ m: model, w: weight })),
    claims,
  };
}

/** Converts a message to a load report. */
export function toLoadReport({ loads, demand }: StateReport): LoadReport {
  return {
    loads: loads.map((entry) => ({
      backEndId: entry.b,
      target: entry.t,
      requests: entry.r,
      unreadTokens: entry.u,
      heldTokens: entry.h,
      endsInMs: entry.e,
    })),
    demand: demand.map(({ m, w }) => ({ model: m, weight: w })),
  };
}
