/** Peer addresses to join through: from the settings, and from the machine list while the daemon is alone. */
import type { Machine, MachineListClient } from '@woodbarrow/object-store';
import { TaskGroup, type Clock } from '@woodbarrow/runtime';

const REFRESH_MS = 30_000;
const RETRY_MS = 1000;

/** Reads the machine list now and then. */
export class SeedSource {
  private listed: readonly Machine[] = [];
  private readonly tasks: TaskGroup;

  constructor(
    private readonly machines: MachineListClient,
    clock: Clock,
    private readonly configured: readonly string[],
  ) {
    this.tasks = new TaskGroup(clock, () => undefined);
  }

  /** Addresses known now. */
  addresses(): readonly string[] {
    return [...this.configured, ...this.listed.map((machine) => machine.address)];
  }

  /** Names of a zone's daemons by the list. */
  daemonsIn(zone: string): readonly string[] {
    return this.listed.filter((machine) => machine.zone === zone).map((machine) => machine.id);
  }

  /** Reads the list once, then keeps reading it in the background. A list that cannot be read is left as it was. */
  async start(): Promise<void> {
    await this.refresh().catch(() => undefined);
    this.tasks.loop(
      'seeds.refresh',
      () => (this.listed.length === 0 ? RETRY_MS : REFRESH_MS),
      () => this.refresh(),
    );
  }

  /** Stops. */
  abort(): void {
    this.tasks.abort();
  }

  private async refresh(): Promise<void> {
    this.listed = await this.machines.list({ kind: 'daemon' });
  }
}
