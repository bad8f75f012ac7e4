/** Peer addresses to join through: from the settings, and from the machine list while the daemon is alone. */
import type { Machine, MachineListClient } from '@woodbarrow/object-store';
import { TaskGroup, type Clock } from '@woodbarrow/runtime';

const REFRESH_INTERVAL_MS = 30_000;
const RETRY_INTERVAL_MS = 1000;

/** Reads the machine list now and then. */
export class SeedSource {
  private listedMachines: readonly Machine[] = [];
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
    return [...this.configured, ...this.listedMachines.map((machine) => machine.address)];
  }

  /** Names of a zone's daemons by the list. */
  daemonsIn(zone: string): readonly string[] {
    return this.listedMachines.filter((machine) => machine.zone === zone).map((machine) => machine.id);
  }

  /** Reads the list once, then keeps reading it in the background. A list that cannot be read is left as it was. */
  async start(): Promise<void> {
    await this.refresh().catch(() => undefined);
    this.tasks.loop(
      'seeds.refresh',
      () => (this.listedMachines.length === 0 ? RETRY_INTERVAL_MS : REFRESH_INTERVAL_MS),
      () => this.refresh(),
    );
  }

  /** Stops. */
  abort(): void {
    this.tasks.abort();
  }

  private async refresh(): Promise<void> {
    this.listedMachines = await this.machines.list({ kind: 'daemon' });
  }
}
