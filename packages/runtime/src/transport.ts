/** Interfaces for ordered, connection-based message frames between daemons, implemented over TCP and in simulation. */

/** Address of a listener, as `ip:port`. */
export type Address = string;

/** An open connection. Frames arrive complete and in order. */
export interface Connection {
  /** Remote address; for accepted connections the address of the socket, not of the peer listener. */
  readonly remote: Address;
  /** Received frames; the iteration ends with the connection. */
  readonly frames: AsyncIterable<Uint8Array>;
  /** Sends one frame; dropped when the connection is closed. */
  send(frame: Uint8Array): void;
  /** Closes the connection; frames already sent may still arrive. */
  close(): void;
}

/** An address that accepts connections. */
export interface Listener {
  /** Address that peers connect to. */
  readonly address: Address;
  /** Stops accepting connections and closes the accepted ones. */
  close(): Promise<void>;
}

/** Opens and accepts connections. */
export interface Transport {
  /** Accepts connections on `address`; port 0 selects a free port. */
  listen(address: Address, accept: (connection: Connection) => void): Promise<Listener>;
  /** Opens a connection; rejects when the address cannot be reached within `timeoutMs`. */
  connect(address: Address, timeoutMs: number): Promise<Connection>;
}

/** Host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`, with IPv6 addresses in brackets. @throws Error when the text has another format. */
export function parseAddress(address: Address): HostAndPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new Error(`not an ip:port address: ${address}`);
  }
  return { host, port };
}
