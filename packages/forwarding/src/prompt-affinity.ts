/** Which parts of prompts this daemon believes each worker to keep, from what it sent there. */
import { targetKey, type ModelTarget } from '@woodbarrow/backends';
import { ownerByRendezvous, type Candidate } from '@woodbarrow/coordination';
import type { PromptPart } from './wire-dialect.js';

/** Chains of parts remembered for each worker; the least recently used are dropped. */
const MAX_PREFIXES_PER_WORKER = 400;

/** A prompt as chains: the key of each prefix and the tokens up to its end. */
export interface PromptChain {
  readonly keys: readonly string[];
  readonly tokens: readonly number[];
}

/** Builds the chain of a prompt. A kept part serves the same model and adapter only. */
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

/** Memory of sent prompts. */
export class PromptAffinity {
  private readonly sentPrefixes = new Map<string, Map<string, true>>();

  /** Notes that a worker reads a prompt. */
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

  /** Tokens of a prompt that a worker probably keeps. */
  cachedTokens(backEndId: string, chain: PromptChain): number {
    const prefixes = this.sentPrefixes.get(backEndId);
    if (prefixes === undefined) return 0;
    for (let index = chain.keys.length - 1; index >= 0; index -= 1) {
      if (prefixes.has(chain.keys[index] as string)) return chain.tokens[index] as number;
    }
    return 0;
  }

  /**
   * The worker that all daemons send a prompt's shared parts to when nothing else speaks against it, so that
   * they need not tell each other what they sent.
   */
  preferredWorker<T extends Candidate>(workers: readonly T[], chain: PromptChain): T | undefined {
    // The last part is the request's own.
    const shared = chain.keys[chain.keys.length - 2] ?? chain.keys[0];
    return shared === undefined ? undefined : ownerByRendezvous(shared, workers);
  }

  /** Drops what is known of a worker: its incarnation ended, or it unloaded the model. */
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
