/** Software versions of the services' back ends, as this daemon has seen them since it started. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import type { Clock } from '@woodbarrow/runtime';

/** Versions of one service; times are monotonic, in milliseconds. */
interface ServiceVersions {
  /** Time at which the first back end of the service was seen. */
  readonly observedSince: number;
  /** Time at which a back end of each version was last present; Infinity while one is. */
  readonly lastSeenAt: Map<string, number>;
}

/** Maximum number of versions remembered for one service; the one seen least recently is dropped. */
const MAX_VERSIONS = 32;

/** Observes the back ends of one daemon. */
export class ObservedVersions {
  private readonly services = new Map<string, ServiceVersions>();

  /** @param isHistoryComplete Whether no back end served before this daemon started. */
  constructor(
    private readonly directory: BackendDirectory,
    private readonly clock: Clock,
    private readonly isHistoryComplete: boolean,
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
    const versions = this.services.get(service);
    if (versions === undefined) return undefined;
    const since = this.clock.monotonic() - withinMs;
    if (!this.isHistoryComplete && versions.observedSince > since) return undefined;
    return this.onlyOf(
      service,
      [...versions.lastSeenAt].filter(([, at]) => at > since).map(([version]) => version),
    );
  }

  /** Returns the only version of a service that was ever seen; undefined if there were several. */
  onlySeen(service: string): string | undefined {
    return this.onlyOf(service, [...(this.services.get(service)?.lastSeenAt.keys() ?? [])]);
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
    let versions = this.services.get(service);
    if (versions === undefined) {
      versions = { observedSince: this.clock.monotonic(), lastSeenAt: new Map() };
      this.services.set(service, versions);
    }
    versions.lastSeenAt.set(softwareVersion, lastSeenAt);
    if (versions.lastSeenAt.size > MAX_VERSIONS) dropLeastRecent(versions.lastSeenAt);
  }
}

function dropLeastRecent(lastSeenAt: Map<string, number>): void {
  let oldest: string | undefined;
  for (const [version, at] of lastSeenAt)
    if (oldest === undefined || at < (lastSeenAt.get(oldest) ?? Infinity)) oldest = version;
  if (oldest !== undefined) lastSeenAt.delete(oldest);
}
