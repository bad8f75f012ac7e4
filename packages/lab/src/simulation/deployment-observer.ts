/** Observer interface of a simulated deployment, for checkers and measurements. */
import type { StoredVersion } from '@woodbarrow/standins';
import type { Attempt } from '../traffic/caller.js';
import type { DaemonSlot, WorkerSlot } from './simulated-deployment.js';

/** Receives events of a simulated deployment synchronously, at the virtual time at which they occur. */
export interface DeploymentObserver {
  /** The replicas of a worker have changed, or the worker's process has crashed. */
  onEngineChange?(worker: WorkerSlot): void;
  /** An engine has started to run a request. */
  onRun?(worker: WorkerSlot, marker: string, requestId: string): void;
  /** A caller has sent an attempt. */
  onAttemptStart?(attempt: Attempt): void;
  /** An attempt has ended and its outcome is set. */
  onAttemptEnd?(attempt: Attempt): void;
  /** The platform has accepted a write. */
  onAccepted?(version: StoredVersion): void;
  /** A daemon has applied a configuration revision. */
  onApplied?(daemon: DaemonSlot, incarnation: number, revision: number): void;
  /** Called once per virtual second. */
  onSecond?(): void;
  /** The simulation has ended. */
  onEnd?(): void;
}
