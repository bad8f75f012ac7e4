/** Worker thread that generates load at a given concurrency or rate and measures response times. */
import { parentPort } from 'node:worker_threads';
import { SystemClock, UndiciHttpClient, encodeText, readBody, sleep } from '@woodbarrow/runtime';
import { build, type Histogram } from 'hdr-histogram-js';

/** Parameters of a load test. */
export interface LoadParameters {
  readonly origin: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly model: string;
  readonly streaming: boolean;
  readonly tokens: number;
  /** Number of concurrent requests without `ratePerSecond`. */
  readonly concurrency: number;
  readonly durationMs: number;
  /** Requests per second; if absent, each response triggers the next request. */
  readonly ratePerSecond?: number;
}

/** Results of a load test; latencies in microseconds. */
export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  readonly seconds: number;
  readonly p50: number;
  readonly p99: number;
  readonly mean: number;
}

const MICROSECONDS_PER_MS = 1000;
const COMPLETIONS_PATH = '/v1/chat/completions';

class LoadGenerator {
  private readonly http = new UndiciHttpClient({ connections: 1024 });
  private readonly clock = new SystemClock();
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private requests = 0;
  private failures = 0;
  private readonly body: Uint8Array;

  constructor(private readonly order: LoadParameters) {
    const { model, streaming, tokens } = order;
    const messages = [{ role: 'user', content: 'measure #bench' }];
    this.body = encodeText(JSON.stringify({ model, stream: streaming, max_tokens: tokens, messages }));
  }

  async run(): Promise<LoadResult> {
    const startedAt = this.clock.monotonic();
    const until = startedAt + this.order.durationMs;
    await (this.order.ratePerSecond === undefined
      ? this.runClosed(until)
      : this.runOpen(until, this.order.ratePerSecond));
    const seconds = (this.clock.monotonic() - startedAt) / 1000;
    await this.http.close();
    return {
      requests: this.requests,
      failures: this.failures,
      seconds,
      p50: this.histogram.getValueAtPercentile(50),
      p99: this.histogram.getValueAtPercentile(99),
      mean: this.histogram.mean,
    };
  }

  /** Closed loop: each of `concurrency` senders waits for a response before its next request. */
  private async runClosed(until: number): Promise<void> {
    const loops = Array.from({ length: this.order.concurrency }, async () => {
      while (this.clock.monotonic() < until) await this.sendOne();
    });
    await Promise.all(loops);
  }

  /** Open loop: sends at a constant rate regardless of pending responses. */
  private async runOpen(until: number, ratePerSecond: number): Promise<void> {
    const pending = new Set<Promise<void>>();
    const startedAt = this.clock.monotonic();
    for (let sent = 0; this.clock.monotonic() < until;) {
      const due = ((this.clock.monotonic() - startedAt) / 1000) * ratePerSecond;
      for (; sent < due; sent += 1) {
        const sending = this.sendOne().finally(() => pending.delete(sending));
        pending.add(sending);
      }
      await sleep(this.clock, 1);
    }
    await Promise.all(pending);
  }

  private async sendOne(): Promise<void> {
    const startedAt = this.clock.monotonic();
    try {
      const { origin, headers } = this.order;
      const response = await this.http.send({
        method: 'POST',
        origin,
        path: COMPLETIONS_PATH,
        headers,
        body: this.body,
      });
      await readBody(response.body);
      if (response.status !== 200) this.failures += 1;
    } catch {
      this.failures += 1;
    }
    this.requests += 1;
    this.histogram.recordValue(
      Math.max(1, Math.round((this.clock.monotonic() - startedAt) * MICROSECONDS_PER_MS)),
    );
  }
}

parentPort?.on('message', (order: LoadParameters) => {
  void new LoadGenerator(order).run().then((result) => {
    parentPort?.postMessage(result);
  });
});
