/** `woodbarrow status`: shows zones, models, workers and queues. */
import type { OperatorClient } from './operator-client.js';
import type { CommandOutput } from './object-commands.js';
import { formatTable } from './table.js';

export const STATUS_SECTIONS = ['zones', 'models', 'workers', 'queues'] as const;

export type StatusSection = (typeof STATUS_SECTIONS)[number];

type Row = Readonly<Record<string, unknown>>;

/** Prints one section. */
export async function showStatus(
  section: StatusSection,
  client: OperatorClient,
  output: CommandOutput,
): Promise<void> {
  const answer = (await client.request('GET', `/status/${section}`)) as Record<string, unknown>;
  if (output.json) {
    output.print(JSON.stringify(answer, null, 2));
    return;
  }
  const rows = (answer[section] as Row[]).flatMap((row) => tableRowsOf(section, row));
  const headings = rows[0] === undefined ? ['NOTHING'] : Object.keys(rows[0]).map((key) => key.toUpperCase());
  output.print(
    formatTable(
      headings,
      rows.map((row) => Object.values(row).map(cellText)),
    ),
  );
}

/** Converts a status entry to table rows: one row per daemon of a zone, and replicas joined in one cell. */
function tableRowsOf(section: StatusSection, row: Row): Row[] {
  if (section === 'zones') {
    const { zone, coordinator, daemons } = row as {
      zone: string;
      coordinator: string | null;
      daemons: Row[];
    };
    return daemons.map((daemon) => ({ zone, coordinator: coordinator ?? 'none', ...daemon }));
  }
  if (section === 'workers') {
    const { replicas, ...rest } = row as { replicas: { model: string; state: string }[] } & Row;
    return [{ ...rest, replicas: replicas.map(({ model, state }) => `${model}(${state})`).join(' ') }];
  }
  return [row];
}

function cellText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
