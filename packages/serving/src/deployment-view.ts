/** Applies the records of the deployment, and reports whether enough of them were read to serve requests. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import type { ListingOrigin } from '@woodbarrow/exchange';
import type { ConfigurationHolder, ForwardingConfiguration } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import type { QuarantineEntry, RequestQuarantine } from '@woodbarrow/quarantine';
import type { IngressLimits } from '@woodbarrow/runtime';
import type { DeploymentSink } from './ports.js';

/** Applies the records of a {@link DeploymentFeed} to the parts of a daemon. */
export class DeploymentView implements DeploymentSink {
  private areBackEndsListed = false;
  private isQuarantineListed = false;

  constructor(
    private readonly configurationHolder: ConfigurationHolder,
    private readonly directory: BackendDirectory,
    private readonly quarantine: RequestQuarantine,
    private readonly log: EventLog,
    private readonly onLimits: (limits: IngressLimits) => void,
  ) {}

  /** Whether the configuration, the back ends and the quarantined contents have been read. */
  get isComplete(): boolean {
    return (
      this.areBackEndsListed && this.isQuarantineListed && this.configurationHolder.current !== undefined
    );
  }

  configuration(configuration: ForwardingConfiguration): void {
    const before = this.configurationHolder.current?.version;
    if (!this.configurationHolder.apply(configuration)) return;
    this.onLimits(configuration.limits);
    this.log.changed('configuration_applied', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      services: configuration.services.size,
    });
  }

  backEndsListed(backEnds: readonly BackEnd[], origin: ListingOrigin): void {
    this.areBackEndsListed = true;
    if (origin === 'restored_store') this.directory.restoreAll(backEnds);
    else this.directory.replaceAll(backEnds);
    this.log.changed('back_ends_listed', { count: backEnds.length, origin });
  }

  backEndChanged(backEnd: BackEnd): void {
    const before = this.directory.get(backEnd.id);
    this.directory.put(backEnd);
    // Its loaded models change often and its coordinator logs each load; other daemons would only repeat it.
    if (before?.draining === backEnd.draining) return;
    this.log.changed(before === undefined ? 'back_end_seen' : 'back_end_changed', {
      backEnd: backEnd.id,
      service: backEnd.service,
      softwareVersion: backEnd.softwareVersion,
      zone: backEnd.zone,
      draining: backEnd.draining,
      models: backEnd.models.map((model) => model.name).join(','),
    });
  }

  backEndGone(name: string): void {
    const removed = this.directory.findByName(name);
    if (removed === undefined) return;
    this.directory.recordVanished(name);
    this.log.changed('back_end_gone', { backEnd: removed.id });
  }

  quarantineListed(records: readonly QuarantineEntry[], origin: ListingOrigin): void {
    this.isQuarantineListed = true;
    if (origin === 'restored_store') this.quarantine.handleStoreRestored(records);
    else this.quarantine.handleRecordsListed(records);
  }

  contentQuarantined(record: QuarantineEntry): void {
    this.quarantine.handleRecordStored(record);
  }

  quarantineLifted(content: string): void {
    this.quarantine.handleRecordRemoved(content);
  }
}
