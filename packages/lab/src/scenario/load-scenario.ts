/** Reads and validates scenario files. */
import { readFileSync } from 'node:fs';
import { WoodbarrowError } from '@woodbarrow/errors';
import { parse } from 'yaml';
import { scenarioSchema, type Scenario } from './scenario-schema.js';

/** Reads a scenario file. @throws WoodbarrowError `settings_invalid`, which lists every problem. */
export function loadScenario(file: string): Scenario {
  return parseScenario(readFileSync(file, 'utf8'), file);
}

/** Parses a scenario from YAML text. @throws WoodbarrowError `settings_invalid`, which lists every problem. */
export function parseScenario(text: string, file = 'scenario'): Scenario {
  const parsed = scenarioSchema.safeParse(parse(text));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => `${file}: ${issue.path.join('.')}: ${issue.message}`);
  throw new WoodbarrowError('settings_invalid', problems.join('\n'));
}
