/** Hours of the day in which a model stays loaded. */

/** A time span of each day in UTC, as `HH:MM`; a span whose end is before its start crosses midnight. */
export interface WarmHours {
  readonly from: string;
  readonly to: string;
}

const MINUTES_PER_DAY = 24 * 60;
const MS_PER_MINUTE = 60_000;

/** Whether a wall clock time, in milliseconds since the epoch, lies in one of the spans. */
export function isWarmTime(spans: readonly WarmHours[], wallMs: number): boolean {
  const minute = Math.floor(wallMs / MS_PER_MINUTE) % MINUTES_PER_DAY;
  return spans.some((span) => {
    const from = minuteOfDay(span.from);
    const to = minuteOfDay(span.to);
    return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
  });
}

function minuteOfDay(time: string): number {
  const [hours, minutes] = time.split(':');
  return Number(hours) * 60 + Number(minutes);
}
