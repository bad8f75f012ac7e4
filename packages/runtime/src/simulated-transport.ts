/** In-memory transport for simulations. */
import { AsyncQueue } from './async-queue.js';
import type { SimulatedProcess } from './simulated-clock.js';
import { SimulatedPipe, type PipeReceiver, type SimulatedNetwork } from './simulated-network.js';
import type { Address, Connection, Listener, Transport } from './transport.js';

interface ListenerEntry {
  readonly process: SimulatedProcess;
  readonly accept: (connection: Connection) => void;
}

const EPHEMERAL_PORT_START = 40_000;

/** Registry of the listeners of a simulation by address. */
export class SimulatedTransportHub {
  readonly listeners = new Map<Address, ListenerEntry>();
  private nextPort = EPHEMERAL_PORT_START;

  constructor(readonly network: SimulatedNetwork) {}

  /** Returns the transport of one process. */
  transportOf(process: SimulatedProcess): Transport {
    return new SimulatedTransport(this, process);
  }

  /** Returns an unused port. */
  allocatePort(): number {
    this.nextPort += 1;
    return this.nextPort;
  }
}

class SimulatedConnection implements Connection {
  readonly frames = new AsyncQueue<Uint8Array>();
  outgoing: SimulatedPipe<Uint8Array> | undefined;
  private closed = false;

  constructor(readonly remote: Address) {}

  send(frame: Uint8Array): void {
    if (!this.closed) this.outgoing?.send(frame);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.outgoing?.close();
    this.frames.close();
  }

  /** Whether this side has closed the connection or was notified of its end. */
  get isClosed(): boolean {
    return this.closed;
  }

  markClosed(): void {
    this.closed = true;
    this.frames.close();
  }
}

class SimulatedTransport implements Transport {
  constructor(
    private readonly hub: SimulatedTransportHub,
    private readonly process: SimulatedProcess,
  ) {}

  listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
    const bound = address.endsWith(':0')
      ? `${address.slice(0, -1)}${String(this.hub.allocatePort())}`
      : address;
    const entry: ListenerEntry = { process: this.process, accept };
    this.hub.listeners.set(bound, entry);
    const remove = (): void => {
      if (this.hub.listeners.get(bound) === entry) this.hub.listeners.delete(bound);
    };
    this.process.onKill(remove);
    return Promise.resolve({
      address: bound,
      close: () => {
        remove();
        return Promise.resolve();
      },
    });
  }

  connect(address: Address, timeoutMs: number): Promise<Connection> {
    const network = this.hub.network;
    const from = this.process;
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        from.deliver(() => {
          reject(new Error(`cannot connect to ${address}: ${reason}`));
        });
      };
      const entry = this.hub.listeners.get(address);
      if (entry === undefined) {
        network.world.schedule(1, () => {
          fail('refused');
        });
        return;
      }
      const to = entry.process;
      if (network.isCut(from, to) || network.isCut(to, from) || to.paused) {
        network.world.schedule(timeoutMs, () => {
          fail('timed out');
        });
        return;
      }
      network.world.schedule(network.delay(from, to) + network.delay(to, from), () => {
        if (!to.alive || this.hub.listeners.get(address) !== entry) fail('refused');
        else this.establish(address, entry, resolve);
      });
    });
  }

  private establish(address: Address, entry: ListenerEntry, resolve: (connection: Connection) => void): void {
    const network = this.hub.network;
    const from = this.process;
    const to = entry.process;
    const clientConnection = new SimulatedConnection(address);
    const serverConnection = new SimulatedConnection(from.name);
    clientConnection.outgoing = new SimulatedPipe(
      network,
      from,
      to,
      receiverOf(serverConnection, clientConnection),
    );
    serverConnection.outgoing = new SimulatedPipe(
      network,
      to,
      from,
      receiverOf(clientConnection, serverConnection),
    );
    closeOnKill(network, from, serverConnection);
    closeOnKill(network, to, clientConnection);
    to.deliver(() => {
      entry.accept(serverConnection);
    });
    from.deliver(() => {
      resolve(clientConnection);
    });
  }
}

/**
 * Returns the callbacks of the receiving side of a pipe. When the pipe is reset, only the sender is notified, as in TCP: the
 * receiver learns of it when it sends on its own and the other side has closed.
 */
function receiverOf(receiver: SimulatedConnection, sender: SimulatedConnection): PipeReceiver<Uint8Array> {
  return {
    onItem: (frame) => {
      if (receiver.isClosed) sender.markClosed();
      else receiver.frames.push(frame);
    },
    onEnd: (broken) => {
      if (broken) sender.markClosed();
      else receiver.markClosed();
    },
  };
}

/** Closes the other side of the connection shortly after `process` is killed. */
function closeOnKill(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  otherSide: SimulatedConnection,
): void {
  process.onKill(() => {
    network.world.schedule(1, () => {
      otherSide.markClosed();
    });
  });
}
