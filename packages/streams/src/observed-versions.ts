/** Software versions of the services' back ends, as this daemon has seen them since it started. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import type { Clock } from '@woodbarrow/runtime';

/** Versions of one service; times are monotonic, in milliseconds. */
interface ServiceVersions {
  /** Time at which a version was last seen for the first time. */
  lastAppearedAt: number;
  /** Time at which the first back end of the service was seen. */
  readonly observedSince: number;
  /** Time at which a back end of each version was last present; Infinity while one is. */
  readonly lastSeenAt: Map<string, number>;
}

/** Maximum number of versions remembered for one service; the one seen least recently is dropped. */
const MAX_VERSIONS = 32;

/** Observes the back ends of one daemon. */
export class ObservedVersions {
  private readonly observed = new Map<string, ServiceVersions>();
  private onVersionAppeared: () => void = () => undefined;

  /** @param knowsHistory Whether no back end served before this daemon started. */
  constructor(
    private readonly directory: BackendDirectory,
    private readonly clock: Clock,
    private readonly knowsHistory: () => boolean,
  ) {
    directory.events.on('changed', (backEnd) => {
      this.note(backEnd, Infinity);
    });
    directory.events.on('removed', (backEnd) => {
      this.noteRemoved(backEnd);
    });
  }

  /** Whether back ends of a service are known and none names a version. A daemon that has just started knows none yet. */
  hasNone(service: string): boolean {
    const backEnds = this.directory.ofService(service);
    return backEnds.length > 0 && backEnds.every(({ softwareVersion }) => softwareVersion === undefined);
  }

  /** Returns the only version that a service has had for `withinMs`; undefined if it had several or was not observed for that long. */
  onlyWithin(service: string, withinMs: number): string | undefined {
    const versions = this.observed.get(service);
    if (versions === undefined) return undefined;
    const since = this.clock.monotonic() - withinMs;
    if (!this.isHistoryComplete && versions.observedSince > since) return undefined;
    return this.onlyOf(
      service,
      [...versions.lastSeenAt].filter(([, at]) => at > since).map(([version]) => version),
    );
  }

  /** Returns the only version among those given and all that were ever seen of a service; undefined if there are several. */
  onlyWith(service: string, versions: readonly string[]): string | undefined {
    return this.onlyOf(service, [...versions, ...(this.observed.get(service)?.lastSeenAt.keys() ?? [])]);
  }

  /** Whether no back end served before this daemon started. */
  get isHistoryComplete(): boolean {
    return this.knowsHistory();
  }

  /** Calls back whenever a service has a version that was not seen before. */
  onAppeared(callback: () => void): void {
    this.onVersionAppeared = callback;
  }

  /** Returns the services with back ends that name a version. */
  services(): readonly string[] {
    return [...this.observed.keys()];
  }

  /** Returns the versions of a service that were present within the last `withinMs`, in alphabetical order. */
  seenWithin(service: string, withinMs: number): string[] {
    const since = this.clock.monotonic() - withinMs;
    const lastSeenAt = this.observed.get(service)?.lastSeenAt ?? new Map<string, number>();
    return [...lastSeenAt]
      .filter(([, at]) => at > since)
      .map(([version]) => version)
      .sort();
  }

  /** Returns the monotonic time since which a service has been observed; Infinity if it has not. */
  observedSince(service: string): number {
    return this.observed.get(service)?.observedSince ?? Infinity;
  }

  /** Returns the monotonic time at which a service last had a version that was not seen before. */
  lastAppearedAt(service: string): number {
    return this.observed.get(service)?.lastAppearedAt ?? -Infinity;
  }

  /** Events of the directory arrive later than its changes, so that the back ends that are present count as well. */
  private onlyOf(service: string, seen: readonly string[]): string | undefined {
    const present = this.directory
      .ofService(service)
      .flatMap(({ softwareVersion: version }) => version ?? []);
    const versions = new Set([...seen, ...present]);
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  private noteRemoved(backEnd: BackEnd): void {
    const { service, softwareVersion } = backEnd;
    const isStillPresent = this.directory
      .ofService(service)
      .some((other) => other.softwareVersion === softwareVersion);
    if (!isStillPresent) this.note(backEnd, this.clock.monotonic());
  }

  private note({ service, softwareVersion }: BackEnd, lastSeenAt: number): void {
    if (softwareVersion === undefined) return;
    let versions = this.observed.get(service);
    if (versions === undefined) {
      const now = this.clock.monotonic();
      versions = { observedSince: now, lastAppearedAt: now, lastSeenAt: new Map() };
      this.observed.set(service, versions);
    }
    const isNew = !versions.lastSeenAt.has(softwareVersion);
    versions.lastSeenAt.set(softwareVersion, lastSeenAt);
    if (isNew) {
      versions.lastAppearedAt = this.clock.monotonic();
      this.onVersionAppeared();
    }
    if (versions.lastSeenAt.size > MAX_VERSIONS) dropLeastRecent(versions.lastSeenAt);
  }
}

function dropLeastRecent(lastSeenAt: Map<string, number>): void {
  let oldest: string | undefined;
  for (const [version, at] of lastSeenAt)
    if (oldest === undefined || at < (lastSeenAt.get(oldest) ?? Infinity)) oldest = version;
  if (oldest !== undefined) lastSeenAt.delete(oldest);
}
