/** Counters, gauges and histograms in the Prometheus text format, with a smaller memory footprint than the standard client library. */

/** Label values of one series by label name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Upper bounds of latency histogram buckets, in seconds. */
export const LATENCY_BUCKETS_SECONDS: readonly number[] = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/** Maximum number of series per metric, so that label values from requests cannot exhaust memory; further series are ignored. */
const MAX_SERIES_PER_FAMILY = 200;

interface Family {
  readonly name: string;
  readonly help: string;
  readonly type: 'counter' | 'gauge' | 'histogram';
  readonly lines: () => string[];
}

/** Monotonically increasing counter with one series per set of labels. */
export class Counter {
  private readonly values = new Map<string, number>();

  constructor(private readonly name: string) {}

  /** Increases one series by `amount`. */
  add(labels: MetricLabels, amount = 1): void {
    const key = formatLabels(labels);
    const current = this.values.get(key);
    if (current === undefined && this.values.size >= MAX_SERIES_PER_FAMILY) return;
    this.values.set(key, (current ?? 0) + amount);
  }

  /** Renders all series as lines of the Prometheus text format. */
  lines(): string[] {
    return [...this.values].map(([labels, value]) => `${this.name}${withBraces(labels)} ${String(value)}`);
  }
}

interface Series {
  readonly counts: number[];
  sum: number;
  total: number;
}

/** Histogram with one series per set of labels. */
export class Histogram {
  private readonly series = new Map<string, Series>();

  constructor(
    private readonly name: string,
    private readonly bounds: readonly number[],
  ) {}

  /** Adds one value to a series. */
  observe(labels: MetricLabels, value: number): void {
    const key = formatLabels(labels);
    let series = this.series.get(key);
    if (series === undefined) {
      if (this.series.size >= MAX_SERIES_PER_FAMILY) return;
      series = { counts: this.bounds.map(() => 0), sum: 0, total: 0 };
      this.series.set(key, series);
    }
    const bucket = this.bounds.findIndex((bound) => value <= bound);
    if (bucket >= 0) series.counts[bucket] = (series.counts[bucket] ?? 0) + 1;
    series.sum += value;
    series.total += 1;
  }

  /** Renders all series as lines of the Prometheus text format. */
  lines(): string[] {
    return [...this.series].flatMap(([labels, series]) => this.seriesLines(labels, series));
  }

  private seriesLines(labels: string, series: Series): string[] {
    const prefix = labels === '' ? '' : `${labels},`;
    let cumulativeCount = 0;
    const buckets = this.bounds.map((bound, index) => {
      cumulativeCount += series.counts[index] ?? 0;
      return `${this.name}_bucket{${prefix}le="${String(bound)}"} ${String(cumulativeCount)}`;
    });
    return [
      ...buckets,
      `${this.name}_bucket{${prefix}le="+Inf"} ${String(series.total)}`,
      `${this.name}_sum${withBraces(labels)} ${String(series.sum)}`,
      `${this.name}_count${withBraces(labels)} ${String(series.total)}`,
    ];
  }
}

/** Registry of the metrics of a daemon. */
export class MetricRegistry {
  /** Content type of the text returned by {@link render}. */
  readonly contentType = 'text/plain; version=0.0.4; charset=utf-8';
  private readonly families: Family[] = [];

  /** Registers a counter; by convention its name ends in `_total`. */
  counter(name: string, help: string): Counter {
    const counter = new Counter(name);
    this.families.push({ name, help, type: 'counter', lines: () => counter.lines() });
    return counter;
  }

  /** Registers a histogram with the given upper bucket bounds in ascending order. */
  histogram(name: string, help: string, bounds = LATENCY_BUCKETS_SECONDS): Histogram {
    const histogram = new Histogram(name, bounds);
    this.families.push({ name, help, type: 'histogram', lines: () => histogram.lines() });
    return histogram;
  }

  /** Registers a gauge that is read on each {@link render}. `read` returns one number, or one number per value of `label`. */
  gauge(name: string, help: string, read: () => number | ReadonlyMap<string, number>, label = 'name'): void {
    const lines = (): string[] => {
      const value = read();
      if (typeof value === 'number') return [`${name} ${String(value)}`];
      return [...value].map(([key, each]) => `${name}{${formatLabels({ [label]: key })}} ${String(each)}`);
    };
    this.families.push({ name, help, type: 'gauge', lines });
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    return this.families
      .flatMap(({ name, help, type, lines }) => [
        `# HELP ${name} ${help}`,
        `# TYPE ${name} ${type}`,
        ...lines(),
      ])
      .join('\n')
      .concat('\n');
  }
}

function formatLabels(labels: MetricLabels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replace(/[\\"\n]/g, '_')}"`)
    .join(',');
}

function withBraces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
