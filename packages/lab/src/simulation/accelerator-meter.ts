/**
 * Measures busy and idle accelerator time once a virtual second. A replica accounts for a share of its worker's
 * accelerators equal to its share of the worker's memory.
 */
import type { DeploymentObserver } from './deployment-observer.js';
import type { SimulatedDeployment } from './simulated-deployment.js';

const SECONDS_PER_HOUR = 3600;

/** Accumulates accelerator hours of replicas with and without running requests. */
export class AcceleratorMeter implements DeploymentObserver {
  idleHours = 0;
  busyHours = 0;

  constructor(private readonly deployment: SimulatedDeployment) {}

  onSecond(): void {
    for (const { process, engine, plan } of this.deployment.workers.values()) {
      if (!process.alive) continue;
      for (const entry of engine.loaded()) {
        const hours = (plan.accelerators * entry.memoryGib) / plan.memoryGib / SECONDS_PER_HOUR;
        if (entry.running > 0) this.busyHours += hours;
        else this.idleHours += hours;
      }
    }
  }
}
