/** Structured logging of state changes and failures; frequent events are counted in metrics instead. */
import { pino, type Logger } from 'pino';
import type { LogEventName } from './log-events.js';

/** Named values of one event. */
export type EventDetails = Readonly<Record<string, unknown>>;

/** Logs events under stable names. */
export interface EventLog {
  /** Logs a change of state at level `info`. */
  changed(event: LogEventName, details?: EventDetails): void;
  /** Logs a failure that may concern an operator, at level `warn`. */
  warned(event: LogEventName, details?: EventDetails): void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly level: string;
  /** Fields added to every line. */
  readonly fields: EventDetails;
}

/** Creates a log that writes JSON lines to standard output with pino. */
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

/** Log that discards all events. */
export const silentLog: EventLog = { changed: () => undefined, warned: () => undefined };
