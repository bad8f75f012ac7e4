import { expect } from 'chai';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { PACE_HALF_LIFE_MS, WorkerPaces, type PaceEntry, type ReportScope } from '../src/index.js';

const REPORT_LIFETIME_MS = 12_000;
const MIN_REPORTED_WEIGHT = 0.1;
const PRIOR_WEIGHT = 1.5;
const INDEPENDENT_FIGURE_MS = 600;
const WORKERS = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5'];
/** Sources with their scope; most have one that reports to an attached daemon leave out. */
const SCOPES: Readonly<Record<string, ReportScope>> = {
  a: 'attached',
  b: 'attached',
  c: 'attached',
  r: 'relay',
  s: 'all',
};
const SOURCES = Object.keys(SCOPES);
const SCOPE_SETS: readonly ReportScope[][] = [
  [],
  ['attached'],
  ['attached', 'relay'],
  ['attached', 'relay', 'all'],
];
const STEPS = 6000;
const TOLERANCE = 1e-9;

interface Figure {
  readonly pace: number;
  readonly weight: number;
  readonly at: number;
  readonly since: number;
}

/** Keeps all figures one by one and adds them up on each reading. */
class DirectPaces {
  private own = new Map<string, Figure[]>();
  private readonly reports = new Map<string, { readonly at: number; figures: Map<string, Figure> }>();

  record(id: string, percent: number, now: number): void {
    const figures = this.own.get(id) ?? [];
    const since = figures[0]?.since ?? now;
    this.own.set(id, [...figures, { pace: percent / 100, weight: 1, at: now, since }]);
  }

  accept(source: string, entries: readonly PaceEntry[], now: number): void {
    const previous = this.reports.get(source)?.figures;
    const figures = entries.map(({ backEndId, pace, weight }): [string, Figure] => [
      backEndId,
      { pace, weight, at: now, since: previous?.get(backEndId)?.since ?? now },
    ]);
    this.reports.set(source, { at: now, figures: new Map(figures) });
    for (const [name, { at }] of this.reports) if (now - at > REPORT_LIFETIME_MS) this.reports.delete(name);
  }

  drop(): void {
    this.reports.clear();
  }

  forget(id: string): void {
    this.own.delete(id);
    for (const { figures } of this.reports.values()) figures.delete(id);
  }

  removeDecayed(now: number): void {
    for (const [id, figures] of this.own) {
      if (sumOf(figures, now).weight < MIN_REPORTED_WEIGHT) this.own.delete(id);
    }
  }

  figures(id: string, now: number, scopes: readonly ReportScope[], excluded?: string): Figure[] {
    const sources = [...this.reports].filter(([source, { at }]) => {
      const scope = SCOPES[source];
      return (
        scope !== undefined && scopes.includes(scope) && source !== excluded && now - at <= REPORT_LIFETIME_MS
      );
    });
    const reported = sources.flatMap(([, report]) => report.figures.get(id) ?? []);
    return [...(this.own.get(id) ?? []), ...reported];
  }

  paceOf(id: string, now: number): number {
    const figures = this.figures(id, now, ['attached', 'relay', 'all']);
    if (figures.length === 0) return 1;
    const { pace, weight } = sumOf(figures, now);
    const since = Math.min(...figures.map((figure) => figure.since));
    const independent = Math.min(weight, 1 + (now - since) / INDEPENDENT_FIGURE_MS);
    return (pace * independent + PRIOR_WEIGHT) / (independent + PRIOR_WEIGHT);
  }
}

function sumOf(figures: readonly Figure[], now: number): { pace: number; weight: number } {
  let [paceSum, weight] = [0, 0];
  for (const figure of figures) {
    const decayed = figure.weight * 0.5 ** ((now - figure.at) / PACE_HALF_LIFE_MS);
    paceSum += figure.pace * decayed;
    weight += decayed;
  }
  return { pace: paceSum / weight, weight };
}

describe('WorkerPaces compared with a direct computation', () => {
  const random = new Random(71);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random.next() * items.length)] as Item;
  let world: SimulatedWorld;
  let paces: WorkerPaces;
  let direct: DirectPaces;
  let start: number;

  const elapsed = (): number => world.now - start;

  /** Weights differ by up to five orders of magnitude, so that small ones remain after large ones are removed. */
  const reportEntries = (): PaceEntry[] =>
    WORKERS.filter(() => random.next() < 0.7).map((backEndId) => ({
      backEndId,
      pace: 0.5 + random.next() * 3,
      weight: Math.max(MIN_REPORTED_WEIGHT * 1.01, 10 ** (random.next() * 5 - 1)),
    }));

  const act = async (): Promise<void> => {
    const kind = random.next();
    if (kind < 0.35) {
      const [id, percent] = [pick(WORKERS), 50 + random.next() * 300];
      paces.record(id, percent);
      direct.record(id, percent, elapsed());
    } else if (kind < 0.6) {
      const [source, entries] = [pick(SOURCES), reportEntries()];
      paces.acceptReport(source, SCOPES[source] as ReportScope, entries);
      direct.accept(source, entries, elapsed());
    } else if (kind < 0.62) {
      paces.dropReports();
      direct.drop();
    } else if (kind < 0.65) {
      const id = pick(WORKERS);
      paces.forget(id);
      direct.forget(id);
    } else await world.run(world.now + pause());
  };

  /** Mostly short; some let reports expire, and a few let the time that weights refer to be renewed. */
  const pause = (): number => {
    const kind = random.next();
    if (kind < 0.9) return random.next() * 2000;
    return kind < 0.995 ? random.next() * 30_000 : 6_000_000;
  };

  const compareReport = (): void => {
    const [scopes, excluded] = [pick(SCOPE_SETS), pick([undefined, ...SOURCES])];
    const report = new Map(paces.combinedReport(scopes, excluded).map((entry) => [entry.backEndId, entry]));
    direct.removeDecayed(elapsed());
    for (const id of WORKERS) {
      const expected = sumOf(direct.figures(id, elapsed(), scopes, excluded), elapsed());
      const entry = report.get(id);
      if (entry === undefined) expect(expected.weight).to.be.below(MIN_REPORTED_WEIGHT * (1 + TOLERANCE));
      else {
        expect(entry.weight / expected.weight).to.be.closeTo(1, TOLERANCE);
        expect(entry.pace / expected.pace).to.be.closeTo(1, TOLERANCE);
      }
    }
  };

  beforeEach(() => {
    world = new SimulatedWorld();
    start = world.now;
    paces = new WorkerPaces(new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' }));
    direct = new DirectPaces();
  });

  // Guards against sums that keep figures after they are replaced, expired, dropped or forgotten, or lose precision.
  it('has the same paces, weights and reports after each of many random changes', async () => {
    let unknown = 0;
    for (let step = 0; step < STEPS; step += 1) {
      await act();
      for (const id of WORKERS) {
        const { weight } = sumOf(direct.figures(id, elapsed(), ['attached', 'relay', 'all']), elapsed());
        expect(paces.paceOf(id)).to.be.closeTo(direct.paceOf(id, elapsed()), TOLERANCE);
        expect(paces.weightOf(id)).to.be.closeTo(weight, weight * TOLERANCE);
        if (weight === 0) {
          unknown += 1;
          expect(paces.paceOf(id)).to.equal(1);
        }
      }
      if (random.next() < 0.2) compareReport();
    }
    expect(unknown).to.be.above(0);
  });
});
