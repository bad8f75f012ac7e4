/** Commands that read logs: `explain` for a request and `timeline` for a worker, a model or a zone. */
import type { Argv } from 'yargs';
import { CommandError } from '../operator-client.js';
import { EXIT_CODES } from '../exit-codes.js';
import { openLines, readLogs, type LogLine, type ReadSummary } from './log-line.js';
import { RequestTimelineCollector } from './request-timeline.js';

/** Registers `explain` and `timeline`. */
export function addLogCommands(parser: Argv): void {
  parser.command(
    'explain <request> [files..]',
    'print the course of a request over all daemons, and its cause, from their logs',
    (command) =>
      command
        .positional('request', { type: 'string', demandOption: true, describe: 'id of the request' })
        .positional('files', {
          type: 'string',
          array: true,
          describe: 'log files; standard input when absent',
        }),
    async ({ request, files, json }) => {
      print(await explain(request, filesOrInput(files), json === true));
    },
  );
  parser.command(
    'timeline <name> [files..]',
    'print what all daemons decided and believed of a worker, a model or a zone',
    (command) =>
      command
        .positional('name', { type: 'string', demandOption: true, describe: 'worker, model or zone' })
        .positional('files', {
          type: 'string',
          array: true,
          describe: 'log files; standard input when absent',
        }),
    async ({ name, files, json }) => {
      print(await timeline(name, filesOrInput(files), json === true));
    },
  );
}

/** Returns the timeline of a request as text or JSON. @throws CommandError when no line names it. */
export async function explain(request: string, files: readonly string[], json: boolean): Promise<string> {
  const collector = new RequestTimelineCollector(request);
  const summary = await readLogs(files.map(openLines), (line) => {
    collector.add(line);
  });
  const requestTimeline = collector.timeline();
  if (requestTimeline === undefined) {
    throw new CommandError(
      `no line names request ${request} (${formatReadSummary(summary)})`,
      EXIT_CODES.failure,
    );
  }
  if (json) return JSON.stringify(requestTimeline, undefined, 2);
  return [
    `request ${request}`,
    ...requestTimeline.steps.map(formatLine),
    ...(requestTimeline.surroundings.length === 0 ? [] : ['', 'believed and decided meanwhile']),
    ...requestTimeline.surroundings.map(formatLine),
    '',
    `cause: ${requestTimeline.cause}`,
    `read: ${formatReadSummary(summary)}`,
  ].join('\n');
}

/** Returns all lines that name a worker, model or zone, sorted by time. @throws CommandError when there is none. */
export async function timeline(name: string, files: readonly string[], json: boolean): Promise<string> {
  const lines: LogLine[] = [];
  const summary = await readLogs(files.map(openLines), (line) => {
    if (line.details['request'] === undefined && mentionsName(line, name)) lines.push(line);
  });
  if (lines.length === 0)
    throw new CommandError(`no line names ${name} (${formatReadSummary(summary)})`, EXIT_CODES.failure);
  lines.sort((left, right) => left.time - right.time);
  if (json) return JSON.stringify(lines, undefined, 2);
  return [...lines.map(formatLine), '', `read: ${formatReadSummary(summary)}`].join('\n');
}

function mentionsName(line: LogLine, name: string): boolean {
  return Object.values(line.details).some(
    (value) => typeof value === 'string' && value.split(/[,/]/).includes(name),
  );
}

function formatLine(line: LogLine): string {
  const time = new Date(line.time).toISOString().slice(11, 23);
  const details = Object.entries(line.details)
    .filter(([name]) => name !== 'request')
    .map(([name, value]) => `${name}=${String(value as string | number | boolean)}`);
  return `${time}  ${line.daemon}  ${line.event}  ${details.join(' ')}`;
}

function formatReadSummary(summary: ReadSummary): string {
  const parts = [
    `${String(summary.lines)} lines of ${String(summary.daemons.size)} daemons`,
    `${String(summary.unreadable)} unreadable`,
    `${String(summary.dropped)} left out by the daemons`,
  ];
  return parts.join(', ');
}

function filesOrInput(files: readonly string[] | undefined): readonly string[] {
  return files === undefined || files.length === 0 ? ['-'] : files;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
