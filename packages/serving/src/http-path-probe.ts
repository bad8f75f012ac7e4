/** Probes the direct path to a back end: opens a new connection, then asks for an answer over HTTP. */
import type { BackEnd } from '@woodbarrow/backends';
import type { ProcessProbe } from '@woodbarrow/quarantine';
import type { PathProbe } from '@woodbarrow/relaying';
import type { ConnectionProbe } from '@woodbarrow/runtime';

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/** A network may accept connections and then drop all data, so an open connection alone shows nothing. */
export class HttpPathProbe implements PathProbe {
  constructor(
    private readonly connections: ConnectionProbe,
    private readonly processes: ProcessProbe,
  ) {}

  async canReach(backEnd: BackEnd): Promise<boolean> {
    if (!(await this.connections.canConnect(backEnd.address, CONNECT_TIMEOUT_MS))) return false;
    const result = await this.processes.probe(backEnd);
    return result === 'running' || result === 'replaced';
  }
}
