/** Marks as records keep them: monotonic times of one daemon become times of day, and those ages for another. */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import type { CrashMark } from './crash-marks.js';
import type { KeptEnd } from './quarantine-record.js';

/** A mark for a record. */
export function toStoredCrash(
  { content, processId, begunAt, endedAt, isTrial }: CrashMark,
  clock: Clock,
): KeptEnd {
  const wallOffsetMs = clock.wall() - clock.monotonic();
  return {
    suspect: content,
    processId,
    begunAt: Math.round(wallOffsetMs + begunAt),
    endedAt: Math.round(wallOffsetMs + endedAt),
    ...(isTrial === true ? { isTrial } : {}),
  };
}

/** A mark of a record, as other daemons tell them. Clocks of daemons differ: what lies ahead of this one has just been. */
export function toMarkEntry(
  { suspect, processId, begunAt, endedAt, isTrial }: KeptEnd,
  clock: Clock,
): CrashMarkEntry {
  const now = clock.wall();
  const ages = { b: Math.max(0, now - begunAt), e: Math.max(0, now - endedAt) };
  return { c: suspect, p: processId, ...ages, ...(isTrial === true ? { t: isTrial } : {}) };
}
