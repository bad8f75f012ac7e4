/** Job ids: `job_<daemon>~<daemon>~<daemon>~<time>-<random>`, with the daemons that first store the job. */
import type { Random } from '@woodbarrow/runtime';

/** Parts of a job id. */
export interface JobIdParts {
  /** Daemons that store the job when it is accepted; the first one accepted it. */
  readonly daemonIds: readonly string[];
  /** Unique part of the id. */
  readonly suffix: string;
  /** Time of submission, in milliseconds since the Unix epoch. */
  readonly submittedAt: number;
}

const PREFIX = 'job_';
const SEPARATOR = '~';
const TIME_SEPARATOR = '-';
const TIME_RADIX = 36;
const SUFFIX_PATTERN = /^([0-9a-z]+)-[0-9a-z]+$/;

/** Returns the unique part of a new job id. */
export function createJobSuffix(submittedAt: number, random: Random): string {
  return `${Math.floor(submittedAt).toString(TIME_RADIX)}${TIME_SEPARATOR}${random.id()}`;
}

export function formatJobId(daemonIds: readonly string[], suffix: string): string {
  return `${PREFIX}${[...daemonIds, suffix].join(SEPARATOR)}`;
}

/** Returns the parts of a job id; undefined when the text is not one. */
export function parseJobId(jobId: string): JobIdParts | undefined {
  if (!jobId.startsWith(PREFIX)) return undefined;
  const daemonIds = jobId.slice(PREFIX.length).split(SEPARATOR);
  const suffix = daemonIds.pop() ?? '';
  const [, time] = SUFFIX_PATTERN.exec(suffix) ?? [];
  if (time === undefined || daemonIds.length === 0) return undefined;
  return { daemonIds, suffix, submittedAt: parseInt(time, TIME_RADIX) };
}
