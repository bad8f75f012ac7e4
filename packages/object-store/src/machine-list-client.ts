/** Client of the platform's machine list. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { readBody, readJson, type HttpClient } from '@woodbarrow/runtime';
import { machineListSchema, type Machine } from './platform-types.js';

const MACHINE_LIST_TIMEOUT_MS = 3000;

/** Selects the machines to list. */
export interface MachineFilter {
  readonly kind: Machine['kind'];
  /** Zone of the machines; all zones when absent. */
  readonly zone?: string;
}

interface CachedList {
  readonly etag: string;
  readonly machines: readonly Machine[];
}

/** Reads the list of live and leaving machines, which may be stale. An unchanged list is served from a cache by its ETag. */
export class MachineListClient {
  private readonly cachedLists = new Map<string, CachedList>();

  constructor(
    private readonly origin: string,
    private readonly http: HttpClient,
  ) {}

  /** Returns the machines that match a filter. @throws WoodbarrowError `platform_unavailable` */
  async list(filter: MachineFilter): Promise<readonly Machine[]> {
    const zone = filter.zone === undefined ? '' : `&zone=${encodeURIComponent(filter.zone)}`;
    const path = `/machines?kind=${filter.kind}${zone}`;
    const cached = this.cachedLists.get(path);
    try {
      const response = await this.http.send({
        method: 'GET',
        origin: this.origin,
        path,
        headers: cached === undefined ? {} : { 'if-none-match': cached.etag },
        timeoutMs: MACHINE_LIST_TIMEOUT_MS,
      });
      if (response.status === 304 && cached !== undefined) {
        await readBody(response.body);
        return cached.machines;
      }
      if (response.status !== 200) throw new Error(`status ${String(response.status)}`);
      const { machines } = machineListSchema.parse(await readJson(response.body));
      const etag = response.headers['etag'];
      if (etag !== undefined) this.cachedLists.set(path, { etag, machines });
      return machines;
    } catch (error) {
      throw new WoodbarrowError('platform_unavailable', 'the machine list cannot be read', { cause: error });
    }
  }
}
