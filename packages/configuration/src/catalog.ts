/** Read model of the configuration: tenants, their models and the principals behind access tokens. */
import { splitOverZones, type ZoneAllotment } from './allotments.js';
import type { ConfigurationStore } from './configuration-store.js';
import {
  deploymentSchema,
  partnerSchema,
  templateSchema,
  tenantSchema,
  type AdapterParameters,
  type Deployment,
  type ModelParameters,
  type TemplateParameters,
} from './template-schema.js';

/** A model of one tenant, with its parameters from the tenant's template. */
export interface CatalogModel {
  /** `<tenant>/<name>`. */
  readonly id: string;
  readonly tenant: string;
  readonly partner: string;
  readonly parameters: ModelParameters;
  readonly coldStartWeight: number;
  readonly allotments: readonly ZoneAllotment[];
}

/** What a name used by callers refers to: a model, or an adapter of a model. */
export interface CatalogTarget {
  readonly model: CatalogModel;
  /** Absent if the name refers to the base model. */
  readonly adapter?: AdapterParameters;
}

/** A tenant with the parameters of its template. */
export interface CatalogTenant {
  readonly name: string;
  readonly partner: string;
  readonly parameters: TemplateParameters;
  /** Targets by the name that callers use. */
  readonly targets: ReadonlyMap<string, CatalogTarget>;
}

/** Identity and role that a token authenticates. */
export interface Principal {
  readonly partner: string;
  /** Absent for operators of the partner, who may act on all its tenants. */
  readonly tenant?: string;
  readonly role: 'caller' | 'operator';
}

/** Index over the configuration store, rebuilt on the first access after the revision of the store changes. */
export class Catalog {
  private builtRevision = -1;
  private tenants = new Map<string, CatalogTenant>();
  private models = new Map<string, CatalogModel>();
  private principals = new Map<string, Principal>();
  private zoneNames: readonly string[] = [];
  private partners = 0;
  private currentDeployment: Deployment | undefined;
  /** Parsed templates by key, reused while the revision of the template is unchanged. */
  private readonly templates = new Map<
    string,
    { revision: number; parameters: TemplateParameters; partner: string }
  >();

  constructor(private readonly store: ConfigurationStore) {}

  /** Returns a tenant by name, or undefined if it or its template is missing or invalid. */
  tenant(name: string): CatalogTenant | undefined {
    this.refresh();
    return this.tenants.get(name);
  }

  /** Returns a model by id, or undefined if it does not exist. */
  model(id: string): CatalogModel | undefined {
    this.refresh();
    return this.models.get(id);
  }

  /** Returns all models by id. */
  modelsById(): ReadonlyMap<string, CatalogModel> {
    this.refresh();
    return this.models;
  }

  /** Returns the number of partners that share the deployment. */
  partnerCount(): number {
    this.refresh();
    return this.partners;
  }

  /** Returns the names of the deployment's zones; empty until configured. */
  zones(): readonly string[] {
    this.refresh();
    return this.zoneNames;
  }

  /** Returns the deployment's zones and weight store limits, or undefined until configured. */
  deployment(): Deployment | undefined {
    this.refresh();
    return this.currentDeployment;
  }

  /** Returns the principal of the token with this SHA-256 digest (lower-case hexadecimal), or undefined. */
  principal(sha256: string): Principal | undefined {
    this.refresh();
    return this.principals.get(sha256);
  }

  private refresh(): void {
    if (this.builtRevision === this.store.revision) return;
    this.builtRevision = this.store.revision;
    this.tenants = new Map();
    this.models = new Map();
    this.principals = new Map();
    const deployment = deploymentSchema.safeParse(this.store.get('deployment/deployment'));
    this.currentDeployment = deployment.success ? deployment.data : undefined;
    this.zoneNames = deployment.success ? deployment.data.zones.map((zone) => zone.name) : [];
    const partners = this.store.withPrefix('partners/');
    this.partners = partners.length;
    for (const entry of partners) this.addPartner(entry.key, entry.value);
    for (const entry of this.store.withPrefix('tenants/')) this.addTenant(entry.key, entry.value);
  }

  private addPartner(key: string, value: object | null): void {
    const parsed = partnerSchema.safeParse(value);
    if (!parsed.success) return;
    const partner = key.slice('partners/'.length);
    for (const token of parsed.data.tokens) this.principals.set(token.sha256, { partner, role: token.role });
  }

  private addTenant(key: string, value: object | null): void {
    const parsed = tenantSchema.safeParse(value);
    if (!parsed.success) return;
    const name = key.slice('tenants/'.length);
    const { partner, template, tokens } = parsed.data;
    for (const token of tokens)
      this.principals.set(token.sha256, { partner, tenant: name, role: token.role });
    const parameters = this.parametersOf(template, partner);
    if (parameters === undefined) return;
    const targets = new Map<string, CatalogTarget>();
    for (const model of parameters.models) this.addModel(name, partner, parameters, model, targets);
    this.tenants.set(name, { name, partner, parameters, targets });
  }

  private addModel(
    tenant: string,
    partner: string,
    parameters: TemplateParameters,
    model: ModelParameters,
    targets: Map<string, CatalogTarget>,
  ): void {
    const id = `${tenant}/${model.name}`;
    const entry: CatalogModel = {
      id,
      tenant,
      partner,
      parameters: model,
      coldStartWeight: parameters.coldStartWeight,
      allotments: splitOverZones(id, model, this.zoneNames),
    };
    this.models.set(id, entry);
    targets.set(model.name, { model: entry });
    for (const adapter of model.adapters) targets.set(adapter.name, { model: entry, adapter });
  }

  private parametersOf(template: string, partner: string): TemplateParameters | undefined {
    const key = `templates/${template}`;
    const revision = this.store.revisionOf(key);
    const cached = this.templates.get(key);
    if (cached?.revision === revision) return cached.partner === partner ? cached.parameters : undefined;
    const parsed = templateSchema.safeParse(this.store.get(key));
    if (!parsed.success) return undefined;
    const { parameters, partner: owner } = parsed.data;
    this.templates.set(key, { revision, parameters, partner: owner });
    return owner === partner ? parameters : undefined;
  }
}
