/** Tells the quarantine how one run of a request ended. Each run is told of exactly once, however it ends. */
import type { BackEnd } from '@woodbarrow/backends';
import type { ContentAttempt } from '@woodbarrow/quarantine';
import type { RequestScope } from './request-scope.js';

/** Outcome of one run; the first call that tells it counts. */
export class RunOutcome {
  private isTold = false;
  private hasBegun = false;

  constructor(
    private readonly scope: RequestScope,
    private readonly backEnd: BackEnd,
    private readonly sentAt: number,
  ) {}

  /** The back end answered, so that its process lived when the run was sent. */
  noteHead(): void {
    this.scope.context.quarantine.noteAlive(this.backEnd.id, this.sentAt);
  }

  /** Events of the answer have come. */
  noteBegun(): void {
    this.hasBegun = true;
  }

  /** The back end did not run the request, or did not receive it. */
  noteNotRun(): void {
    this.isTold = true;
  }

  /** The answer broke off or was replaced, so that the process is checked at once. */
  noteBroken(): void {
    if (!this.tell()) return;
    this.scope.context.quarantine.noteBroken({ ...this.attempt(), wasLeaving: this.isLeaving() });
  }

  /**
   * The client received a complete answer. It counts as one to the parts of the prompt only if this run wrote all of it: several runs
   * may complete a stream although each of them crashed its worker.
   */
  noteServed(): void {
    if (!this.tell()) return;
    const { context, progress, facts } = this.scope;
    const wroteAll = progress.mayHaveRunOn.size === 1 && facts.resumeAfter === undefined;
    const { parts = [], ...whole } = this.attempt();
    context.quarantine.noteRunEnded(wroteAll ? { ...whole, parts } : whole, 'complete');
    if (!wroteAll) context.quarantine.noteRunEnded({ ...whole, parts }, 'given_up');
  }

  /** Tells of a run that ended in any other way: nobody waits for its answer, or the answer proves nothing. */
  noteEnded(): void {
    if (!this.tell() || this.isLeaving()) return;
    this.scope.context.quarantine.noteRunEnded(this.attempt(), 'given_up');
  }

  private tell(): boolean {
    const isFirst = !this.isTold;
    this.isTold = true;
    return isFirst;
  }

  private attempt(): ContentAttempt {
    const { facts, route, digest, parts } = this.scope;
    const { backEnd, sentAt, hasBegun } = this;
    return { content: digest, parts, requestId: facts.id, route: route.name, backEnd, sentAt, hasBegun };
  }

  /** Whether the back end has announced that it leaves, so that the end of its process is expected. */
  private isLeaving(): boolean {
    return this.scope.context.directory.isLeaving(this.backEnd.id);
  }
}
