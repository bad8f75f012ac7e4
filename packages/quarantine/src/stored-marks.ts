/** Converts crash marks between local monotonic times, stored wall-clock times, and ages in messages. */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import type { CrashMark } from './crash-marks.js';
import type { StoredCrash, StoredMark } from './quarantine-record.js';

/** Converts a mark for storage under its content. */
export function toStoredMark(
  { processId, begunAt, endedAt, isTrial, wasServed, attempts }: CrashMark,
  clock: Clock,
): StoredMark {
  const wallOffsetMs = clock.wall() - clock.monotonic();
  return {
    processId,
    begunAt: Math.round(wallOffsetMs + begunAt),
    endedAt: Math.round(wallOffsetMs + endedAt),
    ...(isTrial === true ? { isTrial } : {}),
    ...(wasServed === true ? { wasServed } : {}),
    ...(attempts === undefined ? {} : { attempts }),
  };
}

/** Converts a mark for storage together with its content. */
export function toStoredCrash(mark: CrashMark, clock: Clock): StoredCrash {
  return { suspect: mark.content, ...toStoredMark(mark, clock) };
}

/** Converts a stored mark to a message entry. A time ahead of this daemon's clock gets the age 0. */
export function toMarkEntry(
  { suspect, processId, begunAt, endedAt, isTrial, wasServed, attempts }: StoredCrash,
  clock: Clock,
): CrashMarkEntry {
  const now = clock.wall();
  const ages = { b: Math.max(0, now - begunAt), e: Math.max(0, now - endedAt) };
  return {
    c: suspect,
    p: processId,
    ...ages,
    ...(isTrial === true ? { t: isTrial } : {}),
    ...(wasServed === true ? { s: wasServed } : {}),
    ...(attempts === undefined ? {} : { a: attempts }),
  };
}
