/** Locates the shipped scenario files. */
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const SCENARIO_DIRECTORY = fileURLToPath(new URL('../../../../../scenarios/', import.meta.url));
const SHORT_NAMES: Readonly<Record<string, string>> = { quetzal: 'quetzal-norte' };

/** Returns the path of a scenario given by path, name or short name. @throws Error when there is no such file. */
export function scenarioFile(nameOrPath: string): string {
  if (existsSync(nameOrPath)) return nameOrPath;
  const file = join(SCENARIO_DIRECTORY, `${SHORT_NAMES[nameOrPath] ?? nameOrPath}.yaml`);
  if (!existsSync(file)) throw new Error(`scenario ${nameOrPath} does not exist`);
  return file;
}

/** Returns the paths of all shipped scenarios, sorted by name. */
export function allScenarioFiles(): string[] {
  return readdirSync(SCENARIO_DIRECTORY)
    .filter((name) => name.endsWith('.yaml'))
    .sort()
    .map((name) => join(SCENARIO_DIRECTORY, name));
}
