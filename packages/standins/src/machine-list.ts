/** Stand-in for the platform's machine list, which shows changes after a lag. */
import { encodeText, hashText, jsonResponse, type Clock, type HttpHandler } from '@woodbarrow/runtime';

/** Entry of the machine list. */
export interface ListedMachine {
  readonly id: string;
  readonly kind: 'daemon' | 'worker';
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** Stores the machine list and applies changes after the lag. */
export class MachineListStandIn {
  private readonly visible = new Map<string, ListedMachine>();

  /** @param lagMs Milliseconds until a change becomes visible. */
  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
  ) {}

  /** Adds a machine without lag. */
  seed(machine: ListedMachine): void {
    this.visible.set(machine.id, machine);
  }

  /** Adds or replaces a machine after the lag. */
  set(machine: ListedMachine): void {
    this.clock.schedule(this.lagMs, () => {
      this.visible.set(machine.id, machine);
    });
  }

  /** Marks a machine as leaving after the lag. */
  markLeaving(id: string): void {
    const machine = this.visible.get(id);
    if (machine !== undefined) this.set({ ...machine, state: 'leaving' });
  }

  /** Removes a machine after the lag. */
  remove(id: string): void {
    this.clock.schedule(this.lagMs, () => {
      this.visible.delete(id);
    });
  }

  /** Serves `GET /machines`, filtered by `zone` and `kind`; responds `304` if the list matches `if-none-match`. */
  readonly handler: HttpHandler = (request) => {
    const url = new URL(request.path, 'http://machines');
    if (url.pathname !== '/machines') return Promise.resolve(jsonResponse(404, {}));
    const zone = url.searchParams.get('zone');
    const kind = url.searchParams.get('kind');
    const machines = [...this.visible.values()].filter(
      (machine) => (zone === null || machine.zone === zone) && (kind === null || machine.kind === kind),
    );
    const body = JSON.stringify({ machines });
    const etag = `"${String(hashText(body))}"`;
    if (request.headers['if-none-match'] === etag) {
      return Promise.resolve({ status: 304, headers: { etag }, body: new Uint8Array(0) });
    }
    const headers = { 'content-type': 'application/json', etag };
    return Promise.resolve({ status: 200, headers, body: encodeText(body) });
  };
}
