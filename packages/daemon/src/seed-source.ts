/** Provides peer addresses through which to join: those of the settings and of the machine list. */
import type { Machine, MachineListClient } from '@woodbarrow/object-store';
import { TaskGroup, type Clock } from '@woodbarrow/runtime';

const REFRESH_INTERVAL_MS = 30_000;
const RETRY_INTERVAL_MS = 1000;

/** Combines the configured addresses with a machine list that is read periodically. */
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

  /** Returns the configured addresses and those of the last machine list. */
  addresses(): readonly string[] {
    return [...this.configured, ...this.listedMachines.map((machine) => machine.address)];
  }

  /** Returns the ids of the daemons of a zone in the last machine list. */
  daemonsIn(zone: string): readonly string[] {
    return this.listedMachines.filter((machine) => machine.zone === zone).map((machine) => machine.id);
  }

  /** Reads the list once, then periodically in the background. The last list is retained when reading fails. */
  async start(): Promise<void> {
    await this.refresh().catch(() => undefined);
    this.tasks.loop(
      'seeds.refresh',
      () => (this.listedMachines.length === 0 ? RETRY_INTERVAL_MS : REFRESH_INTERVAL_MS),
      () => this.refresh(),
    );
  }

  /** Stops reading the list. */
  abort(): void {
    this.tasks.abort();
  }

  private async refresh(): Promise<void> {
    this.listedMachines = await this.machines.list({ kind: 'daemon' });
  }
}
