/** The operators' configuration of routes and services in force on a daemon. */
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
  /** Rises with every change, by uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: RequestLimits;
  /** Absent where requests need no key. */
  readonly tenants?: TenantTable;
}

/** Holds the newest configuration; an older one never replaces it. */
export class ConfigurationHolder {
  private held: { readonly configuration: ForwardingConfiguration; readonly table: RouteTable } | undefined;

  /** The configuration in force; absent until the first has been read. */
  get current(): ForwardingConfiguration | undefined {
    return this.held?.configuration;
  }

  /** Routes in force. */
  get routes(): RouteTable | undefined {
    return this.held?.table;
  }

  /** Puts a configuration in force. Returns false when it is not newer than the one held. */
  apply(configuration: ForwardingConfiguration): boolean {
    if (this.held !== undefined && configuration.version <= this.held.configuration.version) return false;
    this.held = { configuration, table: new RouteTable(configuration.routes) };
    return true;
  }
}
