/** `woodbarrow-lab check-model`: explores every specification, complete and with each guard removed. */
import { SystemClock } from '@woodbarrow/runtime';
import { CLAIMS_DEFECTS, TAKEOVER_BOUNDS, TAKEOVER_DEFECTS, claimsModel } from '../model/claims-model.js';
import { explore, type Exploration } from '../model/explore.js';
import {
  LEASE_BOUNDS,
  LEASE_DEFECTS,
  leaseModel,
  RESTORED_LEASE_BOUNDS,
  RESTORED_LEASE_DEFECT_BOUNDS,
  RESTORED_LEASE_DEFECTS,
} from '../model/lease-model.js';
import { ORDER_DEFECTS, orderModel } from '../model/order-model.js';
import { PLACEMENT_BOUNDS } from '../model/placement-model-state.js';
import { PLACEMENT_DEFECTS, placementModel } from '../model/placement-model.js';
import { PLATFORM_WRITE_DEFECTS, platformWriteModel } from '../model/platform-write-model.js';
import type { TransitionSystem } from '../model/transition-system.js';
import { print } from './print.js';

/** A specification to explore, with or without a defect. */
interface ModelCheck {
  /** Guard that is removed; undefined for the complete specification. */
  readonly defect: string | undefined;
  readonly run: () => Exploration;
}

/** Returns all checks. A complete specification must hold; each defect must yield a counterexample. */
export function allModelChecks(): ModelCheck[] {
  return [
    ...PLACEMENT_BOUNDS.map((bounds) => ({
      defect: undefined,
      run: () => explore(placementModel(new Set(), bounds)),
    })),
    ...PLACEMENT_DEFECTS.map((defect) => ({
      defect,
      run: () => exploreUnder(PLACEMENT_BOUNDS, (bounds) => placementModel(new Set([defect]), bounds)),
    })),
    ...[...LEASE_BOUNDS, ...RESTORED_LEASE_BOUNDS].map((bounds) => ({
      defect: undefined,
      run: () => explore(leaseModel(bounds)),
    })),
    ...LEASE_DEFECTS.map((defect) => ({
      defect,
      run: () => exploreUnder(LEASE_BOUNDS, (bounds) => leaseModel(bounds, new Set([defect]))),
    })),
    ...RESTORED_LEASE_DEFECTS.map((defect) => ({
      defect,
      run: () =>
        exploreUnder(RESTORED_LEASE_DEFECT_BOUNDS, (bounds) => leaseModel(bounds, new Set([defect]))),
    })),
    { defect: undefined, run: () => explore(orderModel()) },
    ...ORDER_DEFECTS.map((defect) => ({ defect, run: () => explore(orderModel(new Set([defect]))) })),
    { defect: undefined, run: () => explore(claimsModel()) },
    ...CLAIMS_DEFECTS.map((defect) => ({ defect, run: () => explore(claimsModel(new Set([defect]))) })),
    { defect: undefined, run: () => explore(claimsModel(new Set(), TAKEOVER_BOUNDS)) },
    ...TAKEOVER_DEFECTS.map((defect) => ({
      defect,
      run: () => explore(claimsModel(new Set([defect]), TAKEOVER_BOUNDS)),
    })),
    { defect: undefined, run: () => explore(platformWriteModel()) },
    ...PLATFORM_WRITE_DEFECTS.map((defect) => ({
      defect,
      run: () => explore(platformWriteModel(new Set([defect]))),
    })),
  ];
}

/** Returns the first exploration with a counterexample, or the last one. */
function exploreUnder<Bounds, State>(
  allBounds: readonly Bounds[],
  model: (bounds: Bounds) => TransitionSystem<State>,
): Exploration {
  let result: Exploration | undefined;
  for (const bounds of allBounds) {
    result = explore(model(bounds));
    if (result.counterexample !== undefined) break;
  }
  if (result === undefined) throw new Error('exploration requires at least one set of bounds');
  return result;
}

/** Runs all checks and returns the exit code. */
export function checkModel(json: boolean): number {
  const clock = new SystemClock();
  let failures = 0;
  for (const { defect, run } of allModelChecks()) {
    const startedAt = clock.monotonic();
    const result = run();
    const seconds = (clock.monotonic() - startedAt) / 1000;
    const asExpected = (result.counterexample === undefined) === (defect === undefined);
    if (!asExpected) failures += 1;
    if (json) print(JSON.stringify({ ...result, defect: defect ?? null, seconds, asExpected }));
    else printResult(result, defect, seconds, asExpected);
  }
  return failures === 0 ? 0 : 1;
}

function printResult(
  result: Exploration,
  defect: string | undefined,
  seconds: number,
  asExpected: boolean,
): void {
  const { model, states, transitions, depth, counterexample } = result;
  const title = defect === undefined ? model : `${model} with ${defect}`;
  const found =
    counterexample === undefined
      ? 'holds'
      : `breaks "${counterexample.invariant}" in ${String(counterexample.steps.length)} steps`;
  const size = `${String(states)} states, ${String(transitions)} transitions, depth ${String(depth)}, ${seconds.toFixed(1)} s`;
  print(`${asExpected ? 'ok  ' : 'FAIL'} ${title}: ${found} (${size})`);
  if (defect === undefined || !asExpected) {
    print(`     bounds ${JSON.stringify(result.bounds)}; invariants: ${result.invariants.join('; ')}`);
    for (const step of counterexample?.steps ?? []) print(`       ${step}`);
  }
}
