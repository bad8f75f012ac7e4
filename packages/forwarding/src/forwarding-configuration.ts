/** Configuration of routes, services and tenants that is in effect on a daemon. */
import type { ServiceDefinition } from '@woodbarrow/backends';
import { RouteTable } from './route-table.js';
import type { Route } from './route.js';
import type { TenantTable } from './tenant.js';

/** Bounds on what clients may send. */
export interface RequestLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface ForwardingConfiguration {
  /** Increases with every change; numbers may be skipped. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: RequestLimits;
  /** Absent if requests need no key. */
  readonly tenants?: TenantTable;
}

/** Holds the newest configuration; an older one never replaces it. */
export class ConfigurationHolder {
  private held: { readonly configuration: ForwardingConfiguration; readonly table: RouteTable } | undefined;

  /** The configuration in effect; absent until the first has been read. */
  get current(): ForwardingConfiguration | undefined {
    return this.held?.configuration;
  }

  /** Routes in effect. */
  get routes(): RouteTable | undefined {
    return this.held?.table;
  }

  /** Applies a configuration. Returns false if it is not newer than the current one. */
  apply(configuration: ForwardingConfiguration): boolean {
    if (this.held !== undefined && configuration.version <= this.held.configuration.version) return false;
    this.held = { configuration, table: new RouteTable(configuration.routes) };
    return true;
  }
}
