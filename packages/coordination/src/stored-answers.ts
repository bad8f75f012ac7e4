/** Bounded store of the responses of finished claims; the oldest are evicted first. */
export class StoredAnswers {
  private readonly answers = new Map<string, Uint8Array>();
  private totalBytes = 0;

  /** @param maximumBytes Maximum size of all stored answers together. */
  constructor(private readonly maximumBytes: number) {}

  /** Returns the stored answer of a key; undefined when there is none. */
  get(key: string): Uint8Array | undefined {
    return this.answers.get(key);
  }

  /** Stores an answer, unless it is larger than the whole store. */
  set(key: string, answer: Uint8Array): void {
    this.delete(key);
    if (answer.byteLength > this.maximumBytes) return;
    this.answers.set(key, answer);
    this.totalBytes += answer.byteLength;
    for (const oldest of this.answers.keys()) {
      if (this.totalBytes <= this.maximumBytes) break;
      this.delete(oldest);
    }
  }

  delete(key: string): void {
    this.totalBytes -= this.answers.get(key)?.byteLength ?? 0;
    this.answers.delete(key);
  }

  clear(): void {
    this.answers.clear();
    this.totalBytes = 0;
  }
}
