/** How long loads and unloads take, from what has been measured here; the configuration gives the first guess. */
import type { ModelDefinition } from '@woodbarrow/backends';

/** Where the weights of a load come from. */
export type WeightSource = 'memory' | 'disk' | 'store';

/** Weight of the newest measurement: a handful of loads outweighs what was believed before. */
const SMOOTHING_FACTOR = 0.25;
/** Loads take no less than this part of the configured time: rounding of the figures, and clocks that drift. */
const MIN_LOAD_TIME_RATIO = 0.98;
/** Time to unload a model without runs, in milliseconds, until it is measured. */
const INITIAL_UNLOAD_MS = 70;
/** Measured over foretold time until runs end is believed within these bounds: single runs say little. */
const MIN_END_RATIO = 0.5;
const MAX_END_RATIO = 2;

/** Measured times of one zone's loads and unloads. */
export class LoadTimes {
  /** Measured over configured time, by source. */
  private readonly ratios = new Map<WeightSource, number>();
  private idleUnloadMs = INITIAL_UNLOAD_MS;
  /** Measured over foretold time until the runs of what makes way have ended. */
  private endRatio = 1;

  /** Expected milliseconds of a load, from the order to the word that the model is there. */
  loadMs(model: ModelDefinition, source: WeightSource): number {
    return configuredMs(model, source) * (this.ratios.get(source) ?? 1);
  }

  /** Milliseconds before which no load has ended: it is not looked after earlier. */
  shortestLoadMs(model: ModelDefinition, source: WeightSource): number {
    return configuredMs(model, source) * MIN_LOAD_TIME_RATIO;
  }

  /** Expected milliseconds until a model has made way. @param endsInMs Foretold end of its runs; 0 without any. */
  unloadMs(endsInMs: number): number {
    return this.idleUnloadMs + endsInMs * this.endRatio;
  }

  /** Notes a load that has ended. */
  recordLoad(model: ModelDefinition, source: WeightSource, tookMs: number): void {
    const ratio = tookMs / Math.max(1, configuredMs(model, source));
    this.ratios.set(source, smoothed(this.ratios.get(source) ?? 1, ratio));
  }

  /** Notes that a model has made way. @param endsInMs Foretold end of its runs when the unload began. */
  recordUnload(endsInMs: number, tookMs: number): void {
    if (endsInMs <= 0) {
      this.idleUnloadMs = smoothed(this.idleUnloadMs, tookMs);
      return;
    }
    const ratio = Math.max(0, tookMs - this.idleUnloadMs) / endsInMs;
    this.endRatio = smoothed(this.endRatio, Math.min(MAX_END_RATIO, Math.max(MIN_END_RATIO, ratio)));
  }
}

function configuredMs(model: ModelDefinition, source: WeightSource): number {
  if (source === 'memory') return model.memoryLoadMs;
  return source === 'disk' ? model.diskLoadMs : model.storeLoadMs;
}

function smoothed(before: number, measured: number): number {
  return before + SMOOTHING_FACTOR * (measured - before);
}
