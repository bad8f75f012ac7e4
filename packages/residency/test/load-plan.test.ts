import { expect } from 'chai';
import { NO_NEARBY_COPIES } from '@woodbarrow/backends';
import {
  ResidentSet,
  sortByUrgency,
  planLoads,
  urgencyOf,
  type DemandGroup,
  type PendingDemand,
  type PlacementCandidate,
  type PlacementChoice,
} from '../src/index.js';

const NOW = 10_000;
const LOAD_MS = 900;

function demand(targetInMs: number, leftMs = 9000): PendingDemand {
  return {
    arrivedAt: NOW,
    targetAt: NOW + targetInMs,
    deadline: NOW + leftMs,
    without: [],
    mayUseStore: false,
    isWaiting: () => true,
    settle: () => undefined,
  };
}

function group(model: string, ...demands: readonly PendingDemand[]): DemandGroup {
  return { service: 's', model, isAdditionalReplica: false, key: model, demands };
}

function candidate(id: string, busyMs: number): PlacementCandidate {
  const backEnd = {
    id,
    name: id,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    slots: 4,
    draining: false,
    models: [],
    nearby: NO_NEARBY_COPIES,
  };
  return { backEnd, residents: new ResidentSet(), busyMs };
}

/** Chooses the worker that is free first. */
function firstFree(
  _group: DemandGroup,
  candidates: readonly PlacementCandidate[],
  notBeforeMs = 0,
): PlacementChoice | undefined {
  const [first] = [...candidates].sort((left, right) => left.busyMs - right.busyMs);
  if (first === undefined) return undefined;
  const readyMs = Math.max(first.busyMs, notBeforeMs) + LOAD_MS;
  return {
    candidate: first,
    victims: [],
    readyMs,
    notBeforeMs,
    unloadMs: 0,
    loadMs: LOAD_MS,
    source: 'disk',
    storeWaitMs: 0,
  };
}

function names(groups: readonly DemandGroup[]): string[] {
  return groups.map(({ model }) => model);
}

describe('sortByUrgency', () => {
  it('puts a demand that is about to miss its target before one with a later target', () => {
    expect(
      names(sortByUrgency([group('far', demand(6000)), group('near', demand(1200))], NOW)),
    ).to.deep.equal(['near', 'far']);
  });

  it('puts a demand that has missed its target last until its deadline is near', () => {
    const late = group('late', demand(-500, 8000));
    const ending = group('ending', demand(-500, 1000), demand(-500, 1000), demand(-500, 1000));
    expect(names(sortByUrgency([late, group('near', demand(1500))], NOW))).to.deep.equal(['near', 'late']);
    expect(names(sortByUrgency([group('near', demand(1500)), ending], NOW))).to.deep.equal([
      'ending',
      'near',
    ]);
  });

  it('puts a group with many demands before a group with few equal ones', () => {
    const many = group('many', demand(2000), demand(2000), demand(2000));
    expect(names(sortByUrgency([group('few', demand(2000)), many], NOW))).to.deep.equal(['many', 'few']);
  });
});

describe('planLoads', () => {
  it('assigns a worker to each group, and queues later groups behind occupied workers', () => {
    const groups = [group('a', demand(1000)), group('b', demand(1500)), group('c', demand(2000))];
    const { loads: plan } = planLoads({
      groups,
      candidates: [candidate('w0', 0), candidate('w1', 0)],
      choose: firstFree,
      now: NOW,
    });
    expect(plan.map(({ group: { model }, startsNow }) => [model, startsNow])).to.deep.equal([
      ['a', true],
      ['b', true],
      ['c', false],
    ]);
    expect(plan[2]?.choice.readyMs).to.equal(2 * LOAD_MS);
  });

  it('starts no load on a busy worker or while a victim is still needed', () => {
    const inputs = { groups: [group('a', demand(1000))], now: NOW };
    const { loads: busy } = planLoads({ ...inputs, candidates: [candidate('w0', 300)], choose: firstFree });
    expect(busy[0]?.startsNow).to.equal(false);
    const { loads: needed } = planLoads({
      ...inputs,
      candidates: [candidate('w0', 0)],
      choose: (each, candidates) => firstFree(each, candidates, 200),
    });
    expect(needed[0]?.startsNow).to.equal(false);
  });

  it('omits groups for which no worker has capacity', () => {
    const { loads: plan } = planLoads({
      groups: [group('a', demand(1000)), group('b', demand(1000))],
      candidates: [candidate('w0', 0)],
      choose: (each, candidates) => (each.model === 'a' ? undefined : firstFree(each, candidates)),
      now: NOW,
    });
    expect(plan.map((planned) => planned.group.model)).to.deep.equal(['b']);
  });

  it('returns the workers for one more group as occupied by more urgent groups', () => {
    const groups = [group('a', demand(1000)), group('b', demand(1500)), group('c', demand(2000))];
    const plan = planLoads({ groups, candidates: [candidate('w0', 0)], choose: firstFree, now: NOW });
    const busyFor = (urgency: number): number | undefined => plan.candidatesFor(urgency)[0]?.busyMs;
    const [first, second, third] = groups.map((each) => urgencyOf(each, NOW));
    expect(busyFor(Infinity)).to.equal(0);
    expect(busyFor(first ?? 0)).to.equal(LOAD_MS);
    expect(busyFor(second ?? 0)).to.equal(2 * LOAD_MS);
    expect(busyFor(third ?? 0)).to.equal(3 * LOAD_MS);
    expect(busyFor(0)).to.equal(3 * LOAD_MS);
  });
});
