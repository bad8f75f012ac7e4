/** Passes orders and reports on unchanged; calls without an answer are evidence that the path to the worker is lost. */
import type { BackEnd } from '@woodbarrow/backends';
import type { BackendPaths } from '@woodbarrow/relaying';
import type { OrderClient, OrderOutcome, WorkerOrder, WorkerReport } from '@woodbarrow/residency';

/** Orders are never relayed: workers tell coordinators apart by the machine that an order comes from. */
export class ObservedOrders implements OrderClient {
  constructor(
    private readonly orders: OrderClient,
    private readonly paths: BackendPaths,
  ) {}

  async send(backEnd: BackEnd, order: WorkerOrder): Promise<OrderOutcome> {
    const outcome = await this.orders.send(backEnd, order);
    if (outcome === 'unreachable') this.paths.noteNotConnected(backEnd.id);
    else if (outcome === 'unknown') this.paths.noteSilence(backEnd.id);
    return outcome;
  }

  async report(backEnd: BackEnd): Promise<WorkerReport | 'ended' | undefined> {
    const report = await this.orders.report(backEnd);
    if (report === undefined) this.paths.noteSilence(backEnd.id);
    return report;
  }
}
