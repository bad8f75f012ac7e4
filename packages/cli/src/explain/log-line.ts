/** Reads daemons' logs line by line; text before the JSON object of a line is ignored. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** A parsed log line. */
export interface LogLine {
  readonly event: string;
  readonly daemon: string;
  /** Time by the daemon's clock in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly details: Readonly<Record<string, unknown>>;
}

/** Counts of a read of one or more logs. */
export interface ReadSummary {
  readonly lines: number;
  /** Lines that are truncated or not log lines of a daemon. */
  readonly unreadable: number;
  /** Daemons that wrote at least one line. */
  readonly daemons: ReadonlySet<string>;
  /** Lines that daemons report to have dropped. */
  readonly dropped: number;
}

/** Source of text lines. */
export type LineSource = AsyncIterable<string>;

/** Opens a file, or standard input for `-`. */
export function openLines(file: string): LineSource {
  const input = file === '-' ? process.stdin : createReadStream(file);
  return createInterface({ input, crlfDelay: Infinity });
}

/** Reads sources one after another and calls `onLine` for each parsed line. */
export async function readLogs(
  sources: readonly LineSource[],
  onLine: (line: LogLine) => void,
): Promise<ReadSummary> {
  const daemons = new Set<string>();
  const droppedBy = new Map<string, number>();
  let lines = 0;
  let unreadable = 0;
  for (const source of sources) {
    for await (const text of source) {
      if (text.trim() === '') continue;
      lines += 1;
      const line = parseLine(text);
      if (line === undefined) {
        unreadable += 1;
        continue;
      }
      daemons.add(line.daemon);
      if (line.event === 'log_lines_dropped') droppedBy.set(line.daemon, sumOfCounts(line.details));
      onLine(line);
    }
  }
  const dropped = [...droppedBy.values()].reduce((sum, count) => sum + count, 0);
  return { lines, unreadable, daemons, dropped };
}

/** Parses one line; returns undefined when it is not a log line. */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { event, daemon, time, level, ...details } = JSON.parse(text.slice(start)) as Record<
      string,
      unknown
    >;
    void level;
    if (typeof event !== 'string' || typeof daemon !== 'string' || typeof time !== 'number') return undefined;
    return { event, daemon, time, details };
  } catch {
    return undefined;
  }
}

function sumOfCounts(details: LogLine['details']): number {
  return Object.values(details).reduce<number>(
    (sum, value) => sum + (typeof value === 'number' ? value : 0),
    0,
  );
}
