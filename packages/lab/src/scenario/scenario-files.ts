/** Where the shipped scenarios are. */
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const SCENARIO_DIRECTORY = fileURLToPath(new URL('../../../../../scenarios/', import.meta.url));
const SHORT_NAMES: Readonly<Record<string, string>> = { quetzal: 'quetzal-norte' };

/** Path of a scenario given by path, by name, or by short name. */
export function scenarioFile(nameOrPath: string): string {
  if (existsSync(nameOrPath)) return nameOrPath;
  const file = join(SCENARIO_DIRECTORY, `${SHORT_NAMES[nameOrPath] ?? nameOrPath}.yaml`);
  if (!existsSync(file)) throw new Error(`no scenario ${nameOrPath}`);
  return file;
}

/** All shipped scenarios, by path, in order of name. */
export function allScenarioFiles(): string[] {
  return readdirSync(SCENARIO_DIRECTORY)
    .filter((name) => name.endsWith('.yaml'))
    .sort()
    .map((name) => join(SCENARIO_DIRECTORY, name));
}
