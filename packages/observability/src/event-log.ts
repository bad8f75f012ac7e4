/** Structured log lines, for changes of state only. What happens often is counted instead. */
import { pino, type Logger } from 'pino';
import type { LogEventName } from './log-events.js';

/** Facts of one event. */
export type EventDetails = Readonly<Record<string, unknown>>;

/** Writes events under stable names. */
export interface EventLog {
  /** A change of state. */
  changed(event: LogEventName, details?: EventDetails): void;
  /** Something went wrong that an operator may want to know of. */
  warned(event: LogEventName, details?: EventDetails): void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly level: string;
  /** Fields of every line. */
  readonly fields: EventDetails;
}

/** The log of a shipped daemon: JSON lines on standard output, through pino. */
export function createEventLog(options: EventLogOptions): EventLog {
  const logger: Logger = pino({ level: options.level, base: { ...options.fields }, messageKey: 'event' });
  return {
    changed: (event, details = {}) => {
      logger.info(details, event);
    },
    warned: (event, details = {}) => {
      logger.warn(details, event);
    },
  };
}

/** A log that goes nowhere. */
export const silentLog: EventLog = { changed: () => undefined, warned: () => undefined };
