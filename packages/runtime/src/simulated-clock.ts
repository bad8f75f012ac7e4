/** Discrete-event scheduler with a virtual clock, and the simulated processes that use it. */
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
/** Tolerance for rounding errors between virtual time and the clock of a process, in milliseconds. */
const TIMER_ROUNDING_MS = 0.001;
const WALL_CLOCK_START_MS = 1_800_000_000_000;
const MICROSECONDS_PER_MS = 1000;

/** Resolves after all pending microtasks have run. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** One line of a simulation trace. */
export interface TraceEntry {
  readonly atMs: number;
  readonly text: string;
}

/**
 * Runs events in order of virtual time. Microtasks are drained between events, so that a run is deterministic.
 */
export class SimulatedWorld {
  /** Virtual time since the start, in milliseconds. */
  now = 0;
  /** Lines written by {@link record}; empty unless `keepTrace` is set. */
  readonly trace: TraceEntry[] = [];
  private readonly heap: ScheduledEvent[] = [];
  private sequence = 0;
  private hash = FNV_OFFSET;

  constructor(private readonly keepTrace = false) {}

  /** Number of events scheduled since the start. */
  get eventCount(): number {
    return this.sequence;
  }

  /** Hash of all recorded lines and event times; identical runs have the same digest. */
  get digest(): string {
    return (this.hash >>> 0).toString(16).padStart(8, '0');
  }

  /** Schedules `run` after `delayMs` of virtual time; negative delays count as 0. */
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

  /** Runs events until virtual time `untilMs`, or until `stop` returns true. */
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
  /** Rate of the monotonic clock of the process relative to virtual time. @default 1 */
  readonly clockRate?: number;
}

/** A simulated process with its own drifting clock; can be paused, suspended and killed. */
export class SimulatedProcess implements Clock {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** False after {@link kill}; a killed process runs no further callbacks. */
  alive = true;
  private readonly clockRate: number;
  private readonly startedAt: number;
  private readonly meter: SuspensionMeter;
  private pausedUntil = 0;
  /** Total suspended virtual time, including the rest of a current suspension, and the end of the last suspension. */
  private suspendedMs = 0;
  private suspendedUntil = 0;
  /** Offset of the wall clock from virtual time. */
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

  /** Whether the process is paused at the current virtual time. */
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
      // Timers follow the monotonic clock, which does not advance during a suspension.
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

  /** Messages and timers of the same virtual time run in the order in which they were scheduled. */
  afterInput(callback: () => void): void {
    this.schedule(0, callback);
  }

  /** Runs `callback` in the process: immediately, after a current pause, or never when the process was killed. */
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

  /** Pauses the process; its timers and messages are delivered afterwards. */
  pause(durationMs: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.world.now + durationMs);
  }

  /** Suspends the machine: pauses the process and stops its monotonic clock, while the wall clock advances. */
  suspend(durationMs: number): void {
    const from = Math.max(this.world.now, this.suspendedUntil);
    const until = Math.max(from, this.world.now + durationMs);
    this.suspendedMs += until - from;
    this.suspendedUntil = until;
    this.pause(durationMs);
  }

  /** Moves the wall clock by `byMs`, which may be negative. */
  stepWall(byMs: number): void {
    this.wallOffsetMs += byMs;
  }

  /** Kills the process immediately. */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    for (const listener of this.killListeners) listener();
    this.killListeners.clear();
  }

  /** Calls `listener` when the process is killed; returns a function that removes the listener. */
  onKill(listener: () => void): CancelTimer {
    this.killListeners.add(listener);
    return () => {
      this.killListeners.delete(listener);
    };
  }
}
