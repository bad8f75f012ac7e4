/** The woodbarrow command. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { createHash } from 'node:crypto';
import {
  loadSettings,
  overridesFromEnvironment,
  settingsJsonSchema,
  type Settings,
} from '@woodbarrow/settings';
import yargs, { type Argv } from 'yargs';
import { stringify } from 'yaml';
import { EXIT_CODES } from './exit-codes.js';
import { addLogCommands } from './explain/explain-command.js';
import { OBJECT_COMMANDS, ObjectCommands, type CommandOutput } from './object-commands.js';
import { CommandError, OperatorClient } from './operator-client.js';
import { serve } from './serve.js';
import { STATUS_SECTIONS, showStatus } from './status-command.js';

/** Command-line flags by the settings path that each overrides. */
const SETTING_FLAGS = {
  id: 'id',
  zone: 'zone',
  region: 'region',
  listen: 'listen.callers',
  'operator-listen': 'listen.operators',
  'peer-listen': 'listen.peers',
  platform: 'platform.objects',
  machines: 'platform.machines',
  'log-level': 'log.level',
} as const;

const DEFAULT_SERVER = 'http://127.0.0.1:8081';

type Arguments = Readonly<Record<string, unknown>>;

export * from './explain/explain-command.js';

/** Parses the arguments, runs the command and exits the process with its exit code. */
export async function runCli(argv: readonly string[]): Promise<void> {
  const parser = yargs([...argv])
    .scriptName('woodbarrow')
    .usage('$0 <command>')
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .option('server', {
      type: 'string',
      default: process.env['WOODBARROW_SERVER'] ?? DEFAULT_SERVER,
      describe: "origin of a daemon's operators' API (or WOODBARROW_SERVER)",
    })
    .option('token', {
      type: 'string',
      default: process.env['WOODBARROW_TOKEN'] ?? '',
      defaultDescription: 'WOODBARROW_TOKEN',
      describe: "operator's token",
    })
    .demandCommand(1, 'name a command')
    .strict()
    .completion('completion', 'print a completion script for the shell')
    .version('0.1.0')
    .help()
    .epilogue(
      'Exit codes: 0 done, 1 refused or failed, 2 wrong arguments or settings, 3 conflict, 4 unreachable, 5 denied',
    )
    .fail((message, error) => {
      // yargs passes either a message or an error, although its types declare both as set.
      const failure = error as Error | undefined;
      fail(failure ?? new CommandError(message, EXIT_CODES.usage));
    });
  addServeCommand(parser);
  addSettingsCommand(parser);
  addObjectCommand(parser, 'template');
  addObjectCommand(parser, 'tenant');
  addStatusCommand(parser);
  addTokenCommand(parser);
  addLogCommands(parser);
  try {
    await parser.parseAsync();
  } catch (error) {
    fail(error instanceof Error ? error : new Error(String(error)));
  }
}

function addServeCommand(parser: Argv): void {
  parser.command(
    'serve',
    'run one daemon',
    (command) => withSettingsOptions(command),
    async (parsed) => {
      process.exit(await serve(settingsOf(parsed)));
    },
  );
}

function addSettingsCommand(parser: Argv): void {
  parser.command(
    'settings <action>',
    'check, print or describe settings',
    (command) =>
      withSettingsOptions(command).positional('action', {
        choices: ['check', 'print', 'schema'] as const,
        demandOption: true,
      }),
    (parsed) => {
      if (parsed.action === 'schema') {
        print(JSON.stringify(settingsJsonSchema(), null, 2));
        return;
      }
      const settings = settingsOf(parsed);
      print(
        parsed.action === 'check' ? `${String(parsed['settings'])}: valid` : stringify(settings).trimEnd(),
      );
    },
  );
}

function addObjectCommand(parser: Argv, name: keyof typeof OBJECT_COMMANDS): void {
  const run = async (
    parsed: Arguments,
    action: (commands: ObjectCommands) => Promise<void>,
  ): Promise<void> => {
    await withClient(parsed, (client) =>
      action(new ObjectCommands(OBJECT_COMMANDS[name], client, outputOf(parsed))),
    );
  };
  parser.command(name, `list, show and change ${name}s`, (command) =>
    command
      .command('list', 'print all', {}, (parsed) => run(parsed, (commands) => commands.list()))
      .command('get <name>', 'print one', {}, (parsed) =>
        run(parsed, (commands) => commands.get(String(parsed['name']))),
      )
      .command(
        'apply <name> <file>',
        'write one from a YAML file',
        {
          revision: {
            type: 'number',
            describe: 'revision that the file was made from; the newest when absent',
          },
          'dry-run': { type: 'boolean', default: false, describe: 'check only' },
        },
        (parsed) =>
          run(parsed, (commands) =>
            commands.apply(
              String(parsed['name']),
              String(parsed['file']),
              parsed.revision,
              parsed.dryRun === true,
            ),
          ),
      )
      .command('diff <name> <file>', 'compare a file with what is in force', {}, (parsed) =>
        run(parsed, (commands) => commands.diff(String(parsed['name']), String(parsed['file']))),
      )
      .command('history <name>', 'print past versions', {}, (parsed) =>
        run(parsed, (commands) => commands.history(String(parsed['name']))),
      )
      .command('watch', 'print changes as they come into force', {}, (parsed) =>
        run(parsed, (commands) => commands.watch()),
      )
      .demandCommand(1, 'name an action'),
  );
}

function addStatusCommand(parser: Argv): void {
  parser.command(
    'status [section]',
    'show zones, models, workers or queues',
    (command) => command.positional('section', { choices: STATUS_SECTIONS, default: 'zones' as const }),
    (parsed) => withClient(parsed, (client) => showStatus(parsed.section, client, outputOf(parsed))),
  );
  parser.command('drain', 'stop the daemon at --server as planned', {}, (parsed) =>
    withClient(parsed, async (client) => {
      await client.request('POST', '/drain');
      print('draining');
    }),
  );
}

function addTokenCommand(parser: Argv): void {
  parser.command('token-hash <token>', 'print the digest by which a token is configured', {}, (parsed) => {
    print(createHash('sha256').update(String(parsed['token'])).digest('hex'));
  });
}

function withSettingsOptions(command: Argv): Argv {
  let result = command.option('settings', {
    type: 'string',
    default: 'woodbarrow.yaml',
    describe: 'settings file',
  });
  for (const [flag, path] of Object.entries(SETTING_FLAGS)) {
    result = result.option(flag, { type: 'string', describe: `overrides ${path}` });
  }
  return result;
}

function settingsOf(parsed: Arguments): Settings {
  const flags: Record<string, string | undefined> = {};
  for (const [flag, path] of Object.entries(SETTING_FLAGS)) flags[path] = parsed[flag] as string | undefined;
  return loadSettings(String(parsed['settings']), overridesFromEnvironment(process.env), flags);
}

async function withClient(
  parsed: Arguments,
  action: (client: OperatorClient) => Promise<void>,
): Promise<void> {
  const client = new OperatorClient(String(parsed['server']), String(parsed['token']));
  try {
    await action(client);
  } finally {
    await client.close();
  }
}

function outputOf(parsed: Arguments): CommandOutput {
  return { json: parsed['json'] === true, print };
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function fail(error: Error): never {
  process.stderr.write(`woodbarrow: ${error.message}\n`);
  if (error instanceof CommandError) {
    const details = (error.body as { error?: { details?: unknown } } | undefined)?.error?.details;
    if (details !== undefined) process.stderr.write(`${JSON.stringify(details, null, 2)}\n`);
    process.exit(error.exitCode);
  }
  const invalid = error instanceof WoodbarrowError && error.kind === 'settings_invalid';
  process.exit(invalid ? EXIT_CODES.usage : EXIT_CODES.failure);
}
