/**
 * Messages by which a daemon that has lost its direct path to a back end sends a request by way of another daemon, the relay. The
 * daemon pulls the response from the relay piece by piece, so that it also sets the pace.
 */
import { definePeerMethod } from './method.js';

/** Starts the exchange of one request with a back end. The relay sends it over its own connections only. */
export interface RelayStartMessage {
  /** Id of the exchange, unique over all daemons. */
  readonly exchange: string;
  readonly backEndId: string;
  /** Id of the forwarded request. */
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Why a relay does not start an exchange. Nothing was sent to the back end. */
export type RelayRefusal =
  /** The relay has no direct path to this back end either, or does not know it. */
  | 'no_path'
  /** The relay reaches no back end itself. */
  | 'isolated'
  /** The relay carries as many exchanges as it can. */
  | 'busy'
  /** The back end has asked the relay for a pause. */
  | 'paused'
  | 'stopping';

export interface RelayStartAnswer {
  /** Absent if the relay sends the request. */
  readonly refusal?: RelayRefusal;
}

/** Waits for the next piece of the response. */
export interface RelayReadMessage {
  readonly exchange: string;
  /** Time after which the relay answers without a piece, in milliseconds. */
  readonly waitMs: number;
}

/** Status and headers of a response. */
export interface RelayedHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly endsWithConnection: boolean;
}

/** How an exchange failed: nothing was sent because the connection was refused or did not open, or the outcome is unknown. */
export type RelayFailure = 'refused' | 'not_connected' | 'broken';

/** The next piece of the response; without any field if none came in time. */
export interface RelayReadAnswer {
  readonly head?: RelayedHead;
  readonly chunk?: Uint8Array;
  readonly hasEnded?: boolean;
  readonly failure?: RelayFailure;
  readonly detail?: string;
}

/** Ends an exchange whose response is no longer needed. */
export interface RelayCancelMessage {
  readonly exchange: string;
}

/** Asks a daemon to probe the process of a back end over its own connections. */
export interface RelayProbeMessage {
  readonly backEndId: string;
}

export interface RelayProbeAnswer {
  /** Whether the daemon reaches no back end itself. */
  readonly isIsolated?: boolean;
  /** Result of the probe; absent if the daemon is isolated or does not know the back end. */
  readonly result?: 'running' | 'replaced' | 'refused' | 'unknown';
}

export const relayStartMethod = definePeerMethod<RelayStartMessage, RelayStartAnswer>('relay.start');
export const relayReadMethod = definePeerMethod<RelayReadMessage, RelayReadAnswer>('relay.read');
export const relayCancelMethod = definePeerMethod<RelayCancelMessage, Record<string, never>>('relay.cancel');
export const relayProbeMethod = definePeerMethod<RelayProbeMessage, RelayProbeAnswer>('relay.probe');
