/** Loads settings from file, environment and flags, in ascending precedence, and reports all problems together. */
import { readFileSync } from 'node:fs';
import { WoodbarrowError } from '@woodbarrow/errors';
import { LineCounter, isNode, parseDocument, type Document } from 'yaml';
import { settingsSchema, type Settings } from './settings-schema.js';

/** One invalid setting. */
export interface SettingsProblem {
  /** Dotted path of the setting; empty for a problem of the whole file. */
  readonly path: string;
  readonly message: string;
  /** Line in the file, from 1; absent for settings from flags or the environment. */
  readonly line?: number;
}

/** Values by dotted path of the setting, for example `listen.callers`. */
export type SettingsOverrides = Readonly<Record<string, string | undefined>>;

/** Maps environment variables to the settings that they override. */
export const ENVIRONMENT_SETTINGS: Readonly<Record<string, string>> = {
  WOODBARROW_ID: 'id',
  WOODBARROW_ZONE: 'zone',
  WOODBARROW_REGION: 'region',
  WOODBARROW_LISTEN: 'listen.callers',
  WOODBARROW_OPERATOR_LISTEN: 'listen.operators',
  WOODBARROW_PEER_LISTEN: 'listen.peers',
  WOODBARROW_PLATFORM: 'platform.objects',
  WOODBARROW_MACHINES: 'platform.machines',
  WOODBARROW_LOG_LEVEL: 'log.level',
};

/** Returns the overrides from environment variables. */
export function overridesFromEnvironment(
  environment: Readonly<Record<string, string | undefined>>,
): SettingsOverrides {
  const overrides: Record<string, string | undefined> = {};
  for (const [variable, path] of Object.entries(ENVIRONMENT_SETTINGS))
    overrides[path] = environment[variable];
  return overrides;
}

/** Loads a settings file. @throws WoodbarrowError `settings_invalid` with all problems in `details.problems`. */
export function loadSettings(
  file: string,
  environment: SettingsOverrides,
  flags: SettingsOverrides,
): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw settingsError(file, [{ path: '', message: `cannot be read: ${String(error)}` }]);
  }
  return parseSettings(text, environment, flags, file);
}

/** Parses settings from YAML text. @throws WoodbarrowError `settings_invalid` */
export function parseSettings(
  text: string,
  environment: SettingsOverrides = {},
  flags: SettingsOverrides = {},
  file = 'settings',
): Settings {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    const problems = document.errors.map((error) => ({
      path: '',
      message: error.message.split('\n', 1)[0] ?? '',
      line: lines.linePos(error.pos[0]).line,
    }));
    throw settingsError(file, problems);
  }
  const overriddenPaths = new Set<string>();
  const value: unknown = document.toJS() ?? {};
  const merged = applyOverrides(applyOverrides(value, environment, overriddenPaths), flags, overriddenPaths);
  const parsed = settingsSchema.safeParse(merged);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => {
    const path = issue.path.map(String);
    const line = overriddenPaths.has(path.join('.')) ? undefined : lineOf(document, path, lines);
    return { path: path.join('.'), message: issue.message, ...(line === undefined ? {} : { line }) };
  });
  throw settingsError(file, problems);
}

/** Formats each problem as `file:line: path: message`. */
export function formatProblems(file: string, problems: readonly SettingsProblem[]): string[] {
  return problems.map(({ path, message, line }) => {
    const place = line === undefined ? file : `${file}:${String(line)}`;
    return path === '' ? `${place}: ${message}` : `${place}: ${path}: ${message}`;
  });
}

function settingsError(file: string, problems: readonly SettingsProblem[]): WoodbarrowError {
  return new WoodbarrowError('settings_invalid', formatProblems(file, problems).join('\n'), {
    details: { problems },
  });
}

function applyOverrides(value: unknown, overrides: SettingsOverrides, overriddenPaths: Set<string>): unknown {
  const result = (typeof value === 'object' && value !== null ? structuredClone(value) : {}) as Record<
    string,
    unknown
  >;
  for (const [path, override] of Object.entries(overrides)) {
    if (override === undefined) continue;
    overriddenPaths.add(path);
    setPath(result, path.split('.'), override);
  }
  return result;
}

function setPath(target: Record<string, unknown>, path: readonly string[], value: string): void {
  const [first = '', ...rest] = path;
  if (rest.length === 0) {
    target[first] = value;
    return;
  }
  const child = target[first];
  const next = typeof child === 'object' && child !== null ? (child as Record<string, unknown>) : {};
  target[first] = next;
  setPath(next, rest, value);
}

/** Returns the line of a setting, or of its nearest enclosing section in the file. */
function lineOf(document: Document, path: readonly string[], lines: LineCounter): number | undefined {
  for (let length = path.length; length >= 0; length -= 1) {
    const node: unknown = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return undefined;
}
