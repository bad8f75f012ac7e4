/** Estimates which prompt prefixes each worker has cached, from the prompts that this daemon sent to it. */
import { targetKey, type ModelTarget } from '@woodbarrow/backends';
import { ownerByRendezvous, type Candidate } from '@woodbarrow/coordination';
import type { PromptPart } from './wire-dialect.js';

/** Maximum number of prefixes stored for each worker; the least recently used are dropped. */
const MAX_PREFIXES_PER_WORKER = 400;

/** Prefixes of a prompt: the key of each prefix and the number of tokens up to its end. */
export interface PromptChain {
  readonly keys: readonly string[];
  readonly tokens: readonly number[];
}

/** Builds the prefixes of a prompt. Keys contain model and adapter, since caches are not shared between them. */
export function buildPromptChain(target: ModelTarget, parts: readonly PromptPart[]): PromptChain {
  const keys: string[] = [];
  const tokens: number[] = [];
  let key = targetKey(target);
  let sum = 0;
  for (const part of parts) {
    key = `${key}|${part.id}`;
    sum += part.tokens;
    keys.push(key);
    tokens.push(sum);
  }
  return { keys, tokens };
}

/** Prompt prefixes sent to each worker. */
export class PromptAffinity {
  private readonly sentPrefixes = new Map<string, Map<string, true>>();

  /** Records that a prompt was sent to a worker. */
  record(backEndId: string, chain: PromptChain): void {
    let prefixes = this.sentPrefixes.get(backEndId);
    if (prefixes === undefined) {
      prefixes = new Map();
      this.sentPrefixes.set(backEndId, prefixes);
    }
    for (const key of chain.keys) {
      prefixes.delete(key);
      prefixes.set(key, true);
    }
    for (const key of prefixes.keys()) {
      if (prefixes.size <= MAX_PREFIXES_PER_WORKER) break;
      prefixes.delete(key);
    }
  }

  /** Estimated number of tokens of a prompt that a worker has cached. */
  cachedTokens(backEndId: string, chain: PromptChain): number {
    const prefixes = this.sentPrefixes.get(backEndId);
    if (prefixes === undefined) return 0;
    for (let index = chain.keys.length - 1; index >= 0; index -= 1) {
      if (prefixes.has(chain.keys[index] as string)) return chain.tokens[index] as number;
    }
    return 0;
  }

  /**
   * Returns the worker that all daemons prefer for the shared parts of a prompt. Rendezvous hashing makes them
   * agree without exchanging what they sent.
   */
  preferredWorker<T extends Candidate>(workers: readonly T[], chain: PromptChain): T | undefined {
    // The last part belongs to this request alone.
    const shared = chain.keys[chain.keys.length - 2] ?? chain.keys[0];
    return shared === undefined ? undefined : ownerByRendezvous(shared, workers);
  }

  /** Removes the prefixes of a worker whose incarnation ended, or those of a model that it unloaded. */
  forget(backEndId: string, model?: string): void {
    if (model === undefined) {
      this.sentPrefixes.delete(backEndId);
      return;
    }
    const prefixes = this.sentPrefixes.get(backEndId);
    if (prefixes === undefined) return;
    for (const key of prefixes.keys()) {
      if (key.startsWith(`${model}|`) || key.startsWith(`${model}/`)) prefixes.delete(key);
    }
  }
}
