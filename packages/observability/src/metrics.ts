/** Prometheus metrics whose values are read from the subsystems on each scrape. */
import { Gauge, Histogram, Registry } from 'prom-client';

/** Returns the current numbers of one subsystem by name. */
export type NumberSource = () => Readonly<Record<string, number>>;

const WAIT_BUCKETS_SECONDS = [
  0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
];

/** Registry of the metrics of one daemon, based on prom-client. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly waitHistogram: Histogram;
  private readonly sources = new Map<string, NumberSource>();
  private readonly gauges = new Map<string, Gauge>();

  constructor() {
    this.waitHistogram = new Histogram({
      name: 'woodbarrow_request_wait_seconds',
      help: 'Time from the arrival of a request to the beginning of its answer, by result',
      labelNames: ['result'],
      buckets: WAIT_BUCKETS_SECONDS,
      registers: [this.registry],
    });
  }

  /** Content type of the text returned by {@link render}. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Records the wait of a completed request in milliseconds; `result` is `served` or an error kind. */
  recordResponse(result: string, waitedMs: number): void {
    this.waitHistogram.observe({ result }, waitedMs / 1000);
  }

  /** Registers the numbers of a subsystem as gauges named `woodbarrow_<subsystem>_<name>`. */
  addSource(subsystem: string, source: NumberSource): void {
    this.sources.set(subsystem, source);
  }

  /** Reads all sources and renders the metrics in the Prometheus text format. */
  async render(): Promise<string> {
    for (const [subsystem, source] of this.sources) {
      for (const [name, value] of Object.entries(source())) this.gaugeOf(subsystem, name).set(value);
    }
    return this.registry.metrics();
  }

  private gaugeOf(subsystem: string, name: string): Gauge {
    const fullName = `woodbarrow_${subsystem}_${toSnakeCase(name)}`;
    let gauge = this.gauges.get(fullName);
    if (gauge === undefined) {
      gauge = new Gauge({ name: fullName, help: `${subsystem}: ${name}`, registers: [this.registry] });
      this.gauges.set(fullName, gauge);
    }
    return gauge;
  }
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
