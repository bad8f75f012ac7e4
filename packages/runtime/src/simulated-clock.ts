/** The virtual clock of a simulation and the processes that live on it. */
import type { CancelTimer, Clock } from './clock.js';
import { SuspensionMeter } from './suspension-meter.js';

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Rounding of virtual time in the clock of a process, in milliseconds. */
const TIMER_ROUNDING_MS = 0.001;
const WALL_CLOCK_START_MS = 1_800_000_000_000;
const MICROSECONDS_PER_MS = 1000;

/** Lets every pending microtask run. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** One line of a simulation's trace. */
export interface TraceEntry {
  readonly atMs: number;
  readonly text: string;
}

/**
 * Runs events in order of virtual time. Between two events all microtasks are drained,
 * so a run depends on nothing but its inputs.
 */
export class SimulatedWorld {
  /** Virtual milliseconds since the start. */
  now = 0;
  /** Lines written by {@link record}; kept only when `keepTrace` is set. */
  readonly trace: TraceEntry[] = [];
  private readonly heap: ScheduledEvent[] = [];
  private sequence = 0;
  private hash = FNV_OFFSET;

  constructor(private readonly keepTrace = false) {}

  /** Number of events run or waiting so far. */
  get eventCount(): number {
    return this.sequence;
  }

  /** Digest of everything that has happened; equal for equal runs. */
  get digest(): string {
    return (this.hash >>> 0).toString(16).padStart(8, '0');
  }

  /** Runs `run` after `delayMs` of virtual time. */
  schedule(delayMs: number, run: () => void): CancelTimer {
    const event: ScheduledEvent = {
      atMs: this.now + Math.max(0, delayMs),
      sequence: this.sequence,
      run,
      cancelled: false,
    };
    this.sequence += 1;
    this.insert(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Adds a line to the trace and to the digest. */
  record(text: string): void {
    for (let index = 0; index < text.length; index += 1) this.mix(text.charCodeAt(index));
    if (this.keepTrace) this.trace.push({ atMs: this.now, text });
  }

  /** Runs events until virtual time `untilMs`, or until `stop` says so. */
  async run(untilMs: number, stop: () => boolean = () => false): Promise<void> {
    for (;;) {
      await drainMicrotasks();
      const event = this.heap[0];
      if (event === undefined || event.atMs > untilMs || stop()) break;
      this.removeFirst();
      if (event.cancelled) continue;
      this.now = event.atMs;
      this.mix(Math.round(event.atMs * MICROSECONDS_PER_MS));
      event.run();
    }
    if (this.now < untilMs && !stop()) this.now = untilMs;
  }

  private mix(value: number): void {
    this.hash = Math.imul(this.hash ^ (value | 0), FNV_PRIME);
  }

  private insert(event: ScheduledEvent): void {
    const heap = this.heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent] as ScheduledEvent)) break;
      heap[index] = heap[parent] as ScheduledEvent;
      index = parent;
    }
    heap[index] = event;
  }

  private removeFirst(): void {
    const heap = this.heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child] as ScheduledEvent)) child += 1;
      if (!isBefore(heap[child] as ScheduledEvent, last)) break;
      heap[index] = heap[child] as ScheduledEvent;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

/** Options of {@link SimulatedProcess}. */
export interface SimulatedProcessOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Rate of the process's monotonic clock against virtual time. @default 1 */
  readonly clockRate?: number;
}

/** One process of a simulation: its own drifting clock, and the power to be paused and killed. */
export class SimulatedProcess implements Clock {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** False once killed; a killed process runs nothing any more. */
  alive = true;
  private readonly clockRate: number;
  private readonly startedAt: number;
  private readonly meter: SuspensionMeter;
  private pausedUntil = 0;
  /** Virtual time for which the machine has been suspended, and until when it is. */
  private suspendedMs = 0;
  private suspendedUntil = 0;
  /** How far the time of day has been set beside virtual time. */
  private wallOffsetMs = 0;
  private readonly killListeners = new Set<() => void>();

  constructor(
    readonly world: SimulatedWorld,
    options: SimulatedProcessOptions,
  ) {
    this.name = options.name;
    this.zone = options.zone;
    this.region = options.region;
    this.clockRate = options.clockRate ?? 1;
    this.startedAt = world.now;
    this.meter = new SuspensionMeter(
      () => this.monotonic(),
      () => this.wall(),
    );
  }

  /** Whether the process is stopped in its tracks now. */
  get paused(): boolean {
    return this.pausedUntil > this.world.now;
  }

  monotonic(): number {
    const elapsedSuspensionMs = this.suspendedMs - Math.max(0, this.suspendedUntil - this.world.now);
    return (this.world.now - this.startedAt - elapsedSuspensionMs) * this.clockRate;
  }

  elapsed(): number {
    return this.meter.elapsed();
  }

  wall(): number {
    return WALL_CLOCK_START_MS + this.world.now + this.wallOffsetMs;
  }

  schedule(delayMs: number, callback: () => void): CancelTimer {
    let cancelled = false;
    const dueAt = this.monotonic() + delayMs;
    const fire = (): void => {
      if (cancelled) return;
      const leftMs = (dueAt - this.monotonic()) / this.clockRate;
      // A timer goes by the steady clock, which stood still while the machine was suspended.
      if (leftMs > TIMER_ROUNDING_MS) this.world.schedule(leftMs, due);
      else callback();
    };
    const due = (): void => {
      if (!cancelled) this.deliver(fire);
    };
    this.world.schedule(delayMs / this.clockRate, due);
    return () => {
      cancelled = true;
    };
  }

  /** Runs `callback` inside the process: now, after its pause, or never when it has been killed. */
  deliver(callback: () => void): void {
    if (!this.alive) return;
    if (!this.paused) {
      callback();
      return;
    }
    this.world.schedule(this.pausedUntil - this.world.now, () => {
      this.deliver(callback);
    });
  }

  /** Freezes the process; its timers and messages wait. */
  pause(durationMs: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.world.now + durationMs);
  }

  /** Suspends the machine: as a pause, and the steady clock does not count that time. The time of day does. */
  suspend(durationMs: number): void {
    const from = Math.max(this.world.now, this.suspendedUntil);
    const until = Math.max(from, this.world.now + durationMs);
    this.suspendedMs += until - from;
    this.suspendedUntil = until;
    this.pause(durationMs);
  }

  /** Sets the time of day, forward or back. */
  stepWall(byMs: number): void {
    this.wallOffsetMs += byMs;
  }

  /** Ends the process at once. */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    for (const listener of this.killListeners) listener();
    this.killListeners.clear();
  }

  /** Calls `listener` when the process is killed. */
  onKill(listener: () => void): CancelTimer {
    this.killListeners.add(listener);
    return () => {
      this.killListeners.delete(listener);
    };
  }
}
