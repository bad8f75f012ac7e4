/** Estimates the time of loads and unloads from measurements; the configuration gives the initial values. */
import type { ModelDefinition } from '@woodbarrow/backends';

/** Source of the weights of a load. */
export type WeightSource = 'memory' | 'disk' | 'store';

/**
 * Weight of the newest measurement in the moving average; a handful of loads outweighs the earlier estimate.
 */
const SMOOTHING_FACTOR = 0.25;
/** Minimum ratio of actual to configured load time; allows for rounding and clock drift. */
const MIN_LOAD_TIME_RATIO = 0.98;
/** Initial estimate of the time to unload a model without runs, in milliseconds. */
const INITIAL_UNLOAD_MS = 70;
/**
 * Bounds of a single measured ratio of actual to predicted time until runs end, as single runs vary widely.
 */
const MIN_END_RATIO = 0.5;
const MAX_END_RATIO = 2;

/** Load and unload times measured in one zone. */
export class LoadTimes {
  /** Ratio of measured to configured load time, by source. */
  private readonly ratios = new Map<WeightSource, number>();
  private idleUnloadMs = INITIAL_UNLOAD_MS;
  /** Ratio of measured to predicted time until the runs of evicted models end. */
  private endRatio = 1;

  /** Returns the expected milliseconds from the order of a load until the model is resident. */
  loadMs(model: ModelDefinition, source: WeightSource): number {
    return configuredMs(model, source) * (this.ratios.get(source) ?? 1);
  }

  /** Returns the minimum milliseconds of a load; polling before is useless. */
  shortestLoadMs(model: ModelDefinition, source: WeightSource): number {
    return configuredMs(model, source) * MIN_LOAD_TIME_RATIO;
  }

  /**
   * Returns the expected milliseconds until a model is unloaded. @param endsInMs Predicted time until its
   * runs end; 0 without any.
   */
  unloadMs(endsInMs: number): number {
    return this.idleUnloadMs + endsInMs * this.endRatio;
  }

  /** Records the duration of a finished load. */
  recordLoad(model: ModelDefinition, source: WeightSource, tookMs: number): void {
    const ratio = tookMs / Math.max(1, configuredMs(model, source));
    this.ratios.set(source, smoothed(this.ratios.get(source) ?? 1, ratio));
  }

  /**
   * Records the duration of a finished unload. @param endsInMs Predicted time until its runs end when the
   * unload began.
   */
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
