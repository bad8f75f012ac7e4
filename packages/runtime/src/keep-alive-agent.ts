/** Pool of idle connections to one address. */
import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Maximum number of idle connections retained for each address. */
export const MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

/** Pools idle connections. Destroys a connection that receives data while idle, as that data could be taken for the next response. */
export class KeepAliveAgent extends Agent {
  constructor(private readonly onOpened: () => void) {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ADDRESS, scheduling: 'lifo' });
  }

  override createConnection(...parameters: Parameters<Agent['createConnection']>): Socket {
    this.onOpened();
    const socket = super.createConnection(...parameters) as Socket;
    socket.setNoDelay(true);
    // An abort at the end of a response destroys the socket when the HTTP client has already removed its own listener.
    socket.on('error', ignoreError);
    return socket;
  }

  /** Lets the next request use the latest idle connection that fits, if there is one. Returns whether there is. */
  prefer(fits: (socket: Socket) => boolean): boolean {
    for (const sockets of Object.values(this.freeSockets)) {
      const index = sockets?.findLastIndex((socket) => !socket.destroyed && fits(socket)) ?? -1;
      if (sockets === undefined || index < 0) continue;
      // The pool is a stack.
      sockets.push(...sockets.splice(index, 1));
      return true;
    }
    return false;
  }

  /** Starts a request, which takes its connection at once, on a new connection even if others are idle. */
  openNew<Result>(start: () => Result): Result {
    const idle = { ...this.freeSockets };
    const pools = this.freeSockets as Record<string, Socket[] | undefined>;
    for (const name of Object.keys(idle)) pools[name] = undefined;
    try {
      return start();
    } finally {
      Object.assign(pools, idle);
    }
  }

  // The type definitions disagree on the return type of this method.
  override keepSocketAlive(socket: Socket): void {
    const isKeptAlive = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKeptAlive) socket.on('data', destroyOnData);
    return isKeptAlive as unknown as undefined;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

/** Takes a connection that is in use out of its pool. */
export function removeFromPool(socket: Socket): void {
  socket.emit('agentRemove');
}

function ignoreError(): void {
  // The HTTP client reports the errors of requests in progress.
}

function destroyOnData(this: Socket): void {
  this.destroy();
}
