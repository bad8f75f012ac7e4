/** Plays the loads of several zones over one link to the weight store, with and without the schedule. */
import type { StoreLoadUnderWay, StoreWish, StoreWishKind, StoreWishesMessage } from '@woodbarrow/protocol';
import { Random, SimulatedProcess, SimulatedWorld, type Clock } from '@woodbarrow/runtime';
import { StoreAccess, StoreLink, StoreSchedule, type StoreLoad } from '../src/index.js';
import type { TrackedStoreLoad } from '../src/index.js';

const SERVICE = 'models';
export const STEP_MS = 50;
const REPORT_MS = 300;
/** Demands for a model without a replica wait no longer than this, in milliseconds. */
const PATIENCE_MS = 10_000;

/** A model that is asked for. */
export interface PlayedModel {
  readonly name: string;
  /** Requests per second from second 0 on. */
  readonly requestsPerS: number;
  /** Requests per second that its first holder can serve; set for a model that has a holder. */
  readonly servedByHolderPerS?: number;
}

/** The deployment and its load. */
export interface Play {
  readonly zones: number;
  readonly loadMs: number;
  /** Loads that run at full speed at once. */
  readonly fullSpeed: number;
  readonly models: readonly PlayedModel[];
}

interface Transfer {
  readonly model: string;
  readonly kind: StoreWishKind;
  readonly load: StoreLoad;
  leftMs: number;
}

/** One zone's coordinator. */
interface Zone {
  readonly name: string;
  readonly link: StoreLink;
  readonly access: StoreAccess;
  readonly transfers: Transfer[];
  /** Models in progress as others know them. */
  reported: readonly string[];
}

/** Zones, their link and what they have loaded. */
export class StorePlay {
  readonly world = new SimulatedWorld();
  readonly clock: Clock;
  readonly zones: Zone[];
  /** Seconds of play at which each load ended; second 0 is the start of traffic. */
  readonly ends: { readonly model: string; readonly atS: number }[] = [];
  /** Loads at once at each step. */
  readonly concurrency: number[] = [];
  served = 0;
  schedule: StoreSchedule | undefined;
  /** Whether the scheduler answers. */
  isAnswering = true;
  private readonly startedAt: number;

  constructor(
    readonly play: Play,
    private readonly isScheduled: boolean,
  ) {
    this.clock = new SimulatedProcess(this.world, { name: 'd', zone: 'z', region: 'r' });
    this.startedAt = this.world.now;
    const names = Array.from({ length: play.zones }, (_, index) => `zone-${String(index)}`);
    this.zones = names.map((name, index) => this.createZone(name, names, index));
    if (isScheduled) this.replaceScheduler();
  }

  private createZone(name: string, names: readonly string[], index: number): Zone {
    const { clock } = this;
    const scheduled = { initialLimit: 2, growth: { untilSlow: 0.5, afterSlow: 0.25 } };
    const link = new StoreLink({
      clock,
      random: new Random(index + 1),
      zoneCount: () => names.length,
      loadsInOtherZones: () =>
        this.zones.reduce((sum, zone) => sum + (zone.name === name ? 0 : zone.reported.length), 0),
      ...(this.isScheduled ? scheduled : {}),
    });
    const access = new StoreAccess({ zone: name, zones: () => names, clock });
    return { name, link, access, transfers: [], reported: [] };
  }

  /** Starts a scheduler that knows only what claims say. */
  replaceScheduler(): void {
    const claimedLoads = (): TrackedStoreLoad[] =>
      this.zones.flatMap((zone) =>
        zone.reported.map((model) => ({
          zone: zone.name,
          fence: 1,
          model,
          endsAt: this.clock.monotonic() + 1000,
        })),
      );
    this.schedule = new StoreSchedule({ clock: this.clock, claimedLoads });
  }

  /** Seconds since the start of traffic, given that daemons start `warmUpS` before. */
  secondsSince(warmUpS: number): number {
    return (this.world.now - this.startedAt) / 1000 - warmUpS;
  }

  /** Runs until a second of traffic; the daemons start `warmUpS` before traffic. */
  async runUntil(untilS: number, warmUpS: number): Promise<void> {
    for (let step = 0; this.secondsSince(warmUpS) < untilS; step += 1) {
      const nowS = this.secondsSince(warmUpS);
      if (step % (REPORT_MS / STEP_MS) === 0) this.report(nowS >= 0);
      for (const zone of this.zones) this.startLoads(zone, nowS >= 0);
      this.advance(nowS);
      if (nowS >= 0) this.serve(nowS);
      await this.world.run(this.world.now + STEP_MS);
    }
  }

  /** Models loaded until a second of traffic. */
  loadedBy(untilS: number): string[] {
    return [...new Set(this.ends.filter(({ atS }) => atS <= untilS).map(({ model }) => model))];
  }

  private isMissing({ name, servedByHolderPerS }: PlayedModel): boolean {
    return servedByHolderPerS === undefined && !this.ends.some(({ model }) => model === name);
  }

  private isOverloaded({ name, requestsPerS, servedByHolderPerS: perHolder }: PlayedModel): boolean {
    if (perHolder === undefined) return false;
    const holders = 1 + this.ends.filter(({ model }) => model === name).length;
    return requestsPerS > holders * perHolder;
  }

  private wishes(hasTraffic: boolean): StoreWish[] {
    const { loadMs, models } = this.play;
    const shared = { service: SERVICE, loadMs, costMs: loadMs, startableInMs: 0, worker: '' };
    return models.flatMap((model): StoreWish[] => {
      const waiting = hasTraffic ? 1 : 0;
      const wish = { ...shared, model: model.name, waiting, waitingForMs: hasTraffic ? PATIENCE_MS : 0 };
      const { requestsPerS } = model;
      if (this.isMissing(model))
        return [
          { ...wish, kind: hasTraffic ? 'first' : 'ahead', requestsPerS: hasTraffic ? requestsPerS : 0 },
        ];
      const excess = requestsPerS - (model.servedByHolderPerS ?? 0);
      return hasTraffic && this.isOverloaded(model)
        ? [{ ...wish, kind: 'replica', requestsPerS: excess }]
        : [];
    });
  }

  private report(hasTraffic: boolean): void {
    for (const zone of this.zones) {
      zone.reported = zone.transfers.map(({ model }) => model);
      if (!this.isScheduled) continue;
      const message = this.message(zone, hasTraffic);
      if (this.isAnswering && this.schedule !== undefined) {
        const answer = this.schedule.accept(message);
        if (answer.link !== undefined) zone.link.adopt(answer.link);
        zone.access.accept(answer);
      } else if (zone.access.isOnOwn) zone.access.decideAlone(message, this.play.loadMs);
    }
  }

  private message(zone: Zone, hasTraffic: boolean): StoreWishesMessage {
    const elsewhere = this.zones.flatMap((other) => (other === zone ? [] : other.reported));
    const link = zone.link.measurement;
    const loading = zone.transfers.map(({ model, kind, leftMs }): StoreLoadUnderWay => {
      return { service: SERVICE, model, kind, readyInMs: Math.max(100, leftMs) };
    });
    const own = zone.transfers.map(({ model }) => model);
    const wishes = this.wishes(hasTraffic)
      .filter(({ model }) => ![...elsewhere, ...own].includes(model))
      .map((wish) => ({ ...wish, worker: `${zone.name} ${wish.model}` }));
    return { zone: zone.name, fence: 1, wishes, loading, ...(link === undefined ? {} : { link }) };
  }

  private startLoads(zone: Zone, hasTraffic: boolean): void {
    zone.link.accumulateConcurrency();
    if (this.isScheduled) {
      for (const { model, kind } of zone.access.grants()) {
        zone.access.recordStart(SERVICE, model);
        this.start(zone, model, kind);
      }
      return;
    }
    // Unscheduled zones load only what is asked for, as soon as they see room on the link.
    const known = [
      ...this.zones.flatMap(({ reported }) => reported),
      ...zone.transfers.map(({ model }) => model),
    ];
    const next = hasTraffic ? this.wishes(true).find(({ model }) => !known.includes(model)) : undefined;
    if (next !== undefined && zone.link.hasCapacity) this.start(zone, next.model, next.kind);
  }

  private start(zone: Zone, model: string, kind: StoreWishKind): void {
    const { loadMs } = this.play;
    zone.transfers.push({ model, kind, load: zone.link.begin(loadMs), leftMs: loadMs });
  }

  private advance(nowS: number): void {
    const active = this.zones.flatMap(({ transfers }) => transfers).length;
    this.concurrency.push(active);
    const progressMs = STEP_MS / Math.max(1, active / this.play.fullSpeed);
    for (const zone of this.zones) {
      for (const transfer of [...zone.transfers]) {
        transfer.leftMs -= progressMs;
        if (transfer.leftMs > 0) continue;
        zone.transfers.splice(zone.transfers.indexOf(transfer), 1);
        transfer.load.noteEnded(true);
        this.ends.push({ model: transfer.model, atS: nowS });
      }
    }
  }

  /** Serves the requests that arrive in a step and whose model has a replica; the others are refused. */
  private serve(nowS: number): void {
    for (const model of this.play.models) {
      const arrived = (model.requestsPerS * STEP_MS) / 1000;
      const holders = this.ends.filter((end) => end.model === model.name && end.atS <= nowS).length;
      const perHolder = model.servedByHolderPerS;
      const served =
        perHolder === undefined ? arrived : Math.min(arrived, ((1 + holders) * perHolder * STEP_MS) / 1000);
      if (!this.isMissing(model)) this.served += served;
    }
  }
}
