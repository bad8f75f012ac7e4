/** The woodbarrow-lab command. The code of a subcommand is loaded on first use. */
import yargs from 'yargs';

/** Parses the arguments, runs the subcommand and exits the process with its exit code. */
export async function runLab(argv: readonly string[]): Promise<void> {
  await yargs([...argv])
    .scriptName('woodbarrow-lab')
    .command(
      'quickstart',
      'run a whole deployment on loopback',
      (command) =>
        command
          .option('deployment', { type: 'string', default: 'quetzal-norte', describe: 'scenario by name' })
          .option('once', { type: 'boolean', default: false, describe: 'end after the table' }),
      async (parsed) => {
        const { quickstart } = await import('./commands/quickstart.js');
        process.exit(await quickstart(parsed));
      },
    )
    .command(
      'simulate <scenario>',
      'run a scenario on the virtual clock',
      (command) =>
        command
          .positional('scenario', { type: 'string', demandOption: true, describe: 'file or shipped name' })
          .option('seeds', { type: 'string', default: '1', describe: 'a seed or a range A..B' })
          .option('json', { type: 'boolean', default: false, describe: 'one JSON line a seed' })
          .option('threads', { type: 'number', describe: 'threads to use; all cores when absent' })
          .option('trace', {
            type: 'boolean',
            default: false,
            describe: 'print the timeline of the first seed',
          })
          .option('shrink', {
            type: 'boolean',
            default: true,
            describe: 'shorten the fault list of a failing seed',
          }),
      async (parsed) => {
        const { simulate } = await import('./commands/simulate.js');
        process.exit(await simulate(parsed));
      },
    )
    .command('simulate-all', 'run the fixed seeds of all shipped scenarios', {}, async () => {
      const { simulateAll } = await import('./commands/simulate.js');
      process.exit(await simulateAll());
    })
    .command(
      'experiment [name]',
      'bring about failures on loopback, with daemons as processes',
      (command) =>
        command
          .positional('name', { type: 'string', default: 'all' })
          .option('deployment', { type: 'string', default: 'quetzal-norte', describe: 'scenario by name' })
          .option('outage-seconds', {
            type: 'number',
            default: 60,
            describe: 'length of the platform outage',
          }),
      async (parsed) => {
        const { experiment } = await import('./commands/experiment.js');
        process.exit(await experiment(parsed));
      },
    )
    .command(
      'check-model',
      'explore the specifications, whole and with each guard taken out',
      (command) =>
        command.option('json', { type: 'boolean', default: false, describe: 'one JSON line a check' }),
      async (parsed) => {
        const { checkModel } = await import('./commands/check-model.js');
        process.exit(checkModel(parsed.json));
      },
    )
    .command(
      'bench',
      'measure what a daemon adds to a request',
      (command) =>
        command.option('json', { type: 'boolean', default: false, describe: 'print one JSON object' }),
      async (parsed) => {
        const { bench } = await import('./commands/bench.js');
        process.exit(await bench(parsed.json));
      },
    )
    .command(
      'hollow',
      'measure coordination at size on the virtual clock',
      (command) =>
        command
          .option('daemons', { type: 'number', default: 350 })
          .option('zones', { type: 'number', default: 14 })
          .option('regions', { type: 'number', default: 4 })
          .option('workers', { type: 'number', default: 4700 })
          .option('models', { type: 'number', default: 1600 })
          .option('adapters', { type: 'number', default: 2600 })
          .option('requests-per-second', { type: 'number', default: 5 })
          .option('seed', { type: 'number', default: 1 })
          .option('json', { type: 'boolean', default: false, describe: 'print one line' }),
      async (parsed) => {
        const { hollow } = await import('./commands/hollow.js');
        process.exit(await hollow(parsed));
      },
    )
    .command(
      'compare <scenario>',
      'compare baselines and the product on the same arrivals',
      (command) =>
        command
          .positional('scenario', { type: 'string', demandOption: true })
          .option('seeds', { type: 'string', default: '1..5', describe: 'a range A..B' })
          .option('json', { type: 'boolean', default: false, describe: 'one JSON line a policy' }),
      async (parsed) => {
        const { compare } = await import('./commands/compare.js');
        process.exit(await compare(parsed));
      },
    )
    .command(
      'anchor',
      'measure daemons as real processes, to hold the hollow figures against',
      (command) =>
        command
          .option('daemons', { type: 'number', default: 12 })
          .option('zones', { type: 'number', default: 1 })
          .option('workers', { type: 'number', default: 336 })
          .option('models', { type: 'number', default: 114 })
          .option('adapters', { type: 'number', default: 186 })
          .option('seconds', { type: 'number', default: 30 }),
      async (parsed) => {
        const { anchor } = await import('./commands/anchor.js');
        process.exit(await anchor(parsed));
      },
    )
    .demandCommand(1, 'name a command')
    .strict()
    .help()
    .parseAsync();
}
