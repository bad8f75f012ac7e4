/** Health of the back ends of each service, as one daemon observes it. */
import { BackendHealth } from '@woodbarrow/forwarding';
import type { Clock } from '@woodbarrow/runtime';

/** Health by service; created when a service is first used. */
export class ServiceHealth {
  private readonly byService = new Map<string, BackendHealth>();

  constructor(private readonly clock: Clock) {}

  of(service: string): BackendHealth {
    let health = this.byService.get(service);
    if (health === undefined) {
      health = new BackendHealth(this.clock);
      this.byService.set(service, health);
    }
    return health;
  }

  /** Forgets a back end that is gone. */
  forget(service: string, backEndId: string): void {
    this.byService.get(service)?.forget(backEndId);
  }

  /** Tries all back ends again at once. */
  clearBackoffs(): void {
    for (const health of this.byService.values()) health.clearBackoffs();
  }
}
