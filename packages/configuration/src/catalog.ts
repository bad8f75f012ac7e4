/** The configuration as the rest of the product reads it: tenants, their models, and who may do what. */
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

/** A model of one tenant, with what its template says of it. */
export interface CatalogModel {
  /** `<tenant>/<name>`. */
  readonly id: string;
  readonly tenant: string;
  readonly partner: string;
  readonly parameters: ModelParameters;
  readonly coldStartWeight: number;
  readonly allotments: readonly ZoneAllotment[];
}

/** A name that callers may ask for: a model, or an adapter on one. */
export interface CatalogTarget {
  readonly model: CatalogModel;
  /** Absent when the name is the model's own. */
  readonly adapter?: AdapterParameters;
}

/** A tenant with the parameters of its template. */
export interface CatalogTenant {
  readonly name: string;
  readonly partner: string;
  readonly parameters: TemplateParameters;
  /** By the name that callers use. */
  readonly targets: ReadonlyMap<string, CatalogTarget>;
}

/** Who a token stands for. */
export interface Principal {
  readonly partner: string;
  /** Absent for a partner's own operators, who may act on all its tenants. */
  readonly tenant?: string;
  readonly role: 'caller' | 'operator';
}

/** An index over the configuration store, made anew when a higher revision is in force. */
export class Catalog {
  private builtRevision = -1;
  private tenants = new Map<string, CatalogTenant>();
  private models = new Map<string, CatalogModel>();
  private principals = new Map<string, Principal>();
  private zoneNames: readonly string[] = [];
  private partners = 0;
  private currentDeployment: Deployment | undefined;
  /** Parsed templates by key and revision, so that an unrelated change costs nothing. */
  private readonly templates = new Map<
    string,
    { revision: number; parameters: TemplateParameters; partner: string }
  >();

  constructor(private readonly store: ConfigurationStore) {}

  /** A tenant by name. */
  tenant(name: string): CatalogTenant | undefined {
    this.refresh();
    return this.tenants.get(name);
  }

  /** A model by id. */
  model(id: string): CatalogModel | undefined {
    this.refresh();
    return this.models.get(id);
  }

  /** All models by id. */
  modelsById(): ReadonlyMap<string, CatalogModel> {
    this.refresh();
    return this.models;
  }

  /** Number of partners that share the deployment. */
  partnerCount(): number {
    this.refresh();
    return this.partners;
  }

  /** Names of the deployment's zones. */
  zones(): readonly string[] {
    this.refresh();
    return this.zoneNames;
  }

  /** The deployment's zones and weight store limits; undefined until configured. */
  deployment(): Deployment | undefined {
    this.refresh();
    return this.currentDeployment;
  }

  /** Who a token with this SHA-256 digest stands for. */
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
