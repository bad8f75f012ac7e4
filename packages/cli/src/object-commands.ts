/** `woodbarrow template` and `woodbarrow tenant`: list, show, apply, compare and watch configuration objects. */
import { readFileSync } from 'node:fs';
import { parse, stringify } from 'yaml';
import { CommandError, type OperatorClient, type StoredObject } from './operator-client.js';
import { EXIT_CODES } from './exit-codes.js';
import { formatTable } from './table.js';
import { diffLines } from './diff-lines.js';

/** Kinds of objects by command name. */
export const OBJECT_COMMANDS = { template: 'templates', tenant: 'tenants' } as const;

/** Output format and writer of a command. */
export interface CommandOutput {
  readonly json: boolean;
  readonly print: (text: string) => void;
}

/** Response body of a daemon when another writer changed the object first. */
interface ConflictBody {
  readonly error: {
    readonly details: { readonly current: { readonly revision: number; readonly value: unknown } | null };
  };
}

/** Implements the commands for one kind of object. */
export class ObjectCommands {
  constructor(
    private readonly kind: (typeof OBJECT_COMMANDS)[keyof typeof OBJECT_COMMANDS],
    private readonly client: OperatorClient,
    private readonly output: CommandOutput,
  ) {}

  /** Prints all objects. */
  async list(): Promise<void> {
    const { items } = (await this.client.request('GET', `/${this.kind}`)) as { items: StoredObject[] };
    if (this.output.json) {
      this.printJson(items);
      return;
    }
    const rows = items.map(({ name, revision, value }) => [
      name,
      String(revision),
      typeof value['partner'] === 'string' ? value['partner'] : '',
    ]);
    this.output.print(formatTable(['NAME', 'REVISION', 'PARTNER'], rows));
  }

  /** Prints one object as YAML, in the format that `apply` reads. */
  async get(name: string): Promise<void> {
    const object = await this.fetch(name);
    if (this.output.json) this.printJson(object);
    else this.output.print(stringify(object.value).trimEnd());
  }

  /** Writes an object from a YAML file, on condition that `revision`, by default the latest, is still current. */
  async apply(name: string, file: string, revision: number | undefined, dryRun: boolean): Promise<void> {
    const value: unknown = parse(readFileSync(file, 'utf8'));
    const expectedRevision = revision ?? (await this.revisionOf(name));
    const headers: Record<string, string> =
      expectedRevision === 0 ? { 'if-none-match': '*' } : { 'if-match': String(expectedRevision) };
    const path = `/${this.kind}/${encodeURIComponent(name)}${dryRun ? '?dryRun=true' : ''}`;
    const answer = await this.put(path, value, headers);
    if (this.output.json) {
      this.printJson(answer);
      return;
    }
    const { revision: written, inForce } = answer as {
      revision: number;
      inForce?: { daemons: number; of: number };
    };
    if (inForce === undefined) this.output.print(`${name}: valid; nothing was changed`);
    else {
      const { daemons, of } = inForce;
      this.output.print(
        `${name}: revision ${String(written)} in force on ${String(daemons)} of ${String(of)} daemons`,
      );
    }
  }

  /** Prints the differences between the current object and a file. */
  async diff(name: string, file: string): Promise<void> {
    const current = stringify((await this.fetch(name)).value);
    const proposed = stringify(parse(readFileSync(file, 'utf8')));
    const lines = diffLines(current.split('\n'), proposed.split('\n'));
    this.output.print(lines.length === 0 ? 'no difference' : lines.join('\n'));
  }

  /** Prints the versions that the platform retains, each with its changes. */
  async history(name: string): Promise<void> {
    const answer = await this.client.request('GET', `/${this.kind}/${encodeURIComponent(name)}/history`);
    const { items } = answer as { items: { revision: number; value: unknown }[] };
    if (this.output.json) {
      this.printJson(items);
      return;
    }
    let previous: string[] = [];
    for (const { revision, value } of items) {
      const lines = value === null ? [] : stringify(value).split('\n');
      this.output.print(`revision ${String(revision)}${value === null ? ' (deleted)' : ''}`);
      for (const line of diffLines(previous, lines)) this.output.print(`  ${line}`);
      previous = lines;
    }
  }

  /** Prints changes as they take effect, until interrupted. */
  async watch(): Promise<void> {
    const decoder = new TextDecoder();
    for await (const chunk of await this.client.stream('/watch')) {
      this.output.print(decoder.decode(chunk, { stream: true }).trimEnd());
    }
  }

  /** Writes an object; on a conflict, throws an error that shows the differences from the newer revision. */
  private async put(
    path: string,
    value: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<unknown> {
    try {
      return await this.client.request('PUT', path, value, headers);
    } catch (error) {
      const conflict = error instanceof CommandError && error.exitCode === EXIT_CODES.conflict;
      if (!conflict || this.output.json) throw error;
      const { current } = (error.body as ConflictBody).error.details;
      if (current === null) throw new CommandError(`${error.message}; it no longer exists`, error.exitCode);
      const differences = diffLines(stringify(current.value).split('\n'), stringify(value).split('\n'));
      const summary = `revision ${String(current.revision)} is newer; your file against it:`;
      throw new CommandError([error.message, summary, ...differences].join('\n'), error.exitCode);
    }
  }

  private async fetch(name: string): Promise<StoredObject> {
    return (await this.client.request('GET', `/${this.kind}/${encodeURIComponent(name)}`)) as StoredObject;
  }

  private async revisionOf(name: string): Promise<number> {
    try {
      return (await this.fetch(name)).revision;
    } catch (error) {
      const missing = error instanceof CommandError && error.exitCode === EXIT_CODES.failure;
      if (missing && error.message.startsWith('not_found')) return 0;
      throw error;
    }
  }

  private printJson(value: unknown): void {
    this.output.print(JSON.stringify(value, null, 2));
  }
}
