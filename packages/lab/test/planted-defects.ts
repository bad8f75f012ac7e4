/** Defects planted into production classes, one per checker, by replacing a method during a test. */
import { ConfigurationRelay, ConfigurationStore } from '@woodbarrow/configuration';
import { Daemon } from '@woodbarrow/daemon';
import { EngineClient, type CompletionCall, type CompletionStart } from '@woodbarrow/engine';
import { WorkerView } from '@woodbarrow/placement';
import { CompletionStream, Router } from '@woodbarrow/routing';
import type { CheckerName } from '../src/index.js';

/** Removes a planted defect. */
type Restore = () => void;

function replaceMember(prototype: object, name: string, descriptor: PropertyDescriptor): Restore {
  const original = Object.getOwnPropertyDescriptor(prototype, name);
  if (original === undefined) throw new Error(`prototype has no member ${name} to replace`);
  Object.defineProperty(prototype, name, { configurable: true, ...descriptor });
  return () => {
    Object.defineProperty(prototype, name, original);
  };
}

type Complete = (this: EngineClient, call: CompletionCall) => Promise<CompletionStart>;

function replaceComplete(make: (original: Complete) => Complete): Restore {
  const original = Object.getOwnPropertyDescriptor(EngineClient.prototype, 'complete')?.value as Complete;
  return replaceMember(EngineClient.prototype, 'complete', { value: make(original) });
}

async function* withoutFirstChunk(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  let first = true;
  for await (const chunk of body) {
    if (!first) yield chunk;
    first = false;
  }
}

/** Functions that plant the defect that each checker must detect. */
export const PLANTED_DEFECTS: Readonly<Record<CheckerName, () => Restore>> = {
  // The coordinator ignores the replicas that workers hold.
  'replica-limit': () => replaceMember(WorkerView.prototype, 'holdings', { value: () => [] }),
  // The coordinator treats all memory of every worker as free.
  'memory-commit': () => replaceMember(WorkerView.prototype, 'freeGib', { get: () => 1_000_000 }),
  // The router ignores the deadline.
  'answered-in-wait': () => replaceMember(Router.prototype, 'remainingMs', { value: () => 100_000 }),
  // Streams lose their first chunk.
  'whole-answer': () =>
    replaceComplete(
      (original) =>
        async function complete(call) {
          const start = await original.call(this, call);
          if (start.outcome !== 'started' || start.response.body instanceof Uint8Array) return start;
          return { ...start, response: { ...start.response, body: withoutFirstChunk(start.response.body) } };
        },
    ),
  // Stream chunks are forwarded unbuffered, including incomplete events.
  'stream-order': () => {
    const original = Object.getOwnPropertyDescriptor(CompletionStream.prototype, 'push')
      ?.value as CompletionStream['push'];
    return replaceMember(CompletionStream.prototype, 'push', {
      value: function push(this: CompletionStream, chunk: Uint8Array): Uint8Array {
        original.call(this, chunk);
        return chunk;
      },
    });
  },
  // A started request is reported as not run.
  'not-run-means-not-run': () =>
    replaceComplete(
      (original) =>
        async function complete(call) {
          const start = await original.call(this, call);
          return start.outcome === 'started' ? { outcome: 'not_run', reason: 'planted' } : start;
        },
    ),
  // Every request is sent twice.
  'at-most-once': () =>
    replaceComplete(
      (original) =>
        async function complete(call) {
          await original.call(this, call);
          return original.call(this, call);
        },
    ),
  // The coordinator ignores that a worker is leaving.
  'leaving-drained': () => replaceMember(WorkerView.prototype, 'isLeaving', { get: () => false }),
  // A planned stop does not wait for requests in progress.
  'planned-stop': () => replaceMember(Daemon.prototype, 'requestsInProgress', { value: () => 0 }),
  // The store reports an older revision after each change.
  'configuration-monotone': () => {
    const original = Object.getOwnPropertyDescriptor(ConfigurationStore.prototype, 'apply')
      ?.value as ConfigurationStore['apply'];
    return replaceMember(ConfigurationStore.prototype, 'apply', {
      value: function apply(
        this: ConfigurationStore,
        update: Parameters<ConfigurationStore['apply']>[0],
      ): boolean {
        const applied = original.call(this, update);
        if (!applied || update.baseRevision === 0) return applied;
        const revision = update.revision - 2;
        (this as unknown as { currentRevision: number }).currentRevision = revision;
        void this.events.emit('applied', { revision, keys: [] });
        return true;
      },
    });
  },
  // Pushed and pulled configuration updates are dropped.
  'configuration-in-force': () => {
    const restorePush = replaceMember(ConfigurationRelay.prototype, 'onPush', { value: () => undefined });
    const restorePull = replaceMember(ConfigurationRelay.prototype, 'pullFrom', {
      value: () => Promise.resolve(),
    });
    return () => {
      restorePush();
      restorePull();
    };
  },
  // Every daemon reads the platform, with or without the lease.
  'platform-readers': () => {
    const prototype = ConfigurationRelay.prototype as unknown as { readPlatform: () => Promise<void> };
    return replaceMember(ConfigurationRelay.prototype, 'bootstrap', {
      value: function bootstrap(this: unknown): Promise<void> {
        return prototype.readPlatform.call(this);
      },
    });
  },
};
