/**
 * Probes processes with the help of other daemons: where the network of this daemon is at fault, a refused or unanswered probe shows
 * nothing about the process. A daemon that took it for the end of a process would have sound requests quarantined.
 */
import type { BackEnd } from '@woodbarrow/backends';
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { relayProbeMethod } from '@woodbarrow/protocol';
import type { ProbeResult, ProcessProbe } from '@woodbarrow/quarantine';
import type { BackendPaths } from './backend-paths.js';
import type { RelayCandidate, RelayPeers } from './relay-peers.js';

const PROBE_CALL_TIMEOUT_MS = 800;
/** Daemons that are asked for one probe. */
const MAX_PROBERS = 2;

/** Options of {@link RelayedProbe}. */
export interface RelayedProbeOptions {
  readonly direct: ProcessProbe;
  readonly paths: BackendPaths;
  readonly relayPeers: RelayPeers;
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
}

/** A probe whose failures are checked by other daemons; while this daemon reaches no back end, only theirs count. */
export class RelayedProbe implements ProcessProbe {
  constructor(private readonly options: RelayedProbeOptions) {}

  async probe(backEnd: BackEnd): Promise<ProbeResult> {
    const { direct, paths, relayPeers } = this.options;
    if (!relayPeers.hasOthers) return direct.probe(backEnd);
    const own = paths.isIsolated ? 'unknown' : await direct.probe(backEnd);
    if (own === 'running' || own === 'replaced') return own;
    if (own === 'refused') paths.noteNotConnected(backEnd.id);
    const checked = await this.probeByPeers(backEnd);
    if (checked !== undefined) return checked.result;
    return paths.isIsolated ? 'unknown' : own;
  }

  /** Returns the result of another daemon's probe and that daemon; undefined if none could tell. */
  async probeByPeers(
    backEnd: BackEnd,
  ): Promise<{ readonly result: ProbeResult; readonly prober: RelayCandidate } | undefined> {
    const { relayPeers, peers, failures } = this.options;
    for (const prober of relayPeers.probers(backEnd, MAX_PROBERS)) {
      try {
        const message = { backEndId: backEnd.id };
        const options = { timeoutMs: PROBE_CALL_TIMEOUT_MS };
        const { result, isIsolated = false } = await peers.call(
          prober.address,
          relayProbeMethod,
          message,
          options,
        );
        if (result !== undefined && result !== 'unknown') return { result, prober };
        if (isIsolated) relayPeers.avoid(prober.id, 'isolated');
      } catch (error) {
        failures.record('relay_probe', prober.id, error);
      }
    }
    return undefined;
  }
}
