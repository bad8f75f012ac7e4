/** Schema of templates and tenants: every parameter that operators can set, with units and defaults. */
import { z } from 'zod';

const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[a-z0-9][a-z0-9._-]*$/, 'lower-case letters, digits, dots, dashes and underscores');

const timeOfDay = z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'a time of day as HH:MM');

export const adapterSchema = z.strictObject({
  name,
  version: z.string().default('1'),
  /** Accelerator memory in GiB, in addition to that of the base model. */
  memoryGib: z.number().nonnegative().default(0.1),
});

export const modelSchema = z.strictObject({
  name,
  version: z.string().default('1'),
  /** Accelerator memory of one replica, in GiB. */
  memoryGib: z.number().positive(),
  /** Maximum number of requests that one replica runs concurrently. */
  concurrency: z.number().int().positive().max(4096).default(8),
  /** Load time in seconds from each storage tier. */
  loadSeconds: z
    .strictObject({
      host: z.number().positive().default(2),
      disk: z.number().positive().default(8),
      remote: z.number().positive().default(30),
    })
    .prefault({}),
  replicas: z
    .strictObject({
      /** Replicas that stay loaded regardless of traffic. */
      minimum: z.number().int().nonnegative().default(0),
      /** Maximum number of replicas over all zones. */
      maximum: z.number().int().positive().default(1),
      /** Maximum number of replicas in one zone. */
      maximumPerZone: z.number().int().positive().default(4),
    })
    .prefault({}),
  adapters: z.array(adapterSchema).default([]),
  /** Times of day (UTC) during which one replica stays loaded. */
  keepWarm: z.array(z.strictObject({ from: timeOfDay, to: timeOfDay })).default([]),
  /** Bounds on how long an idle replica stays loaded. */
  keepAlive: z
    .strictObject({
      minimumSeconds: z.number().nonnegative().default(10),
      maximumSeconds: z.number().positive().default(600),
    })
    .prefault({}),
});

export const priorityClassSchema = z.strictObject({
  name,
  /** Lower numbers are served first. */
  priority: z.number().int().min(0).max(100),
  /** Maximum wait in seconds for requests that do not specify one. */
  defaultWaitSeconds: z.number().positive().default(30),
  /** Longest wait in seconds that a request may specify. */
  maximumWaitSeconds: z.number().positive().default(300),
  /** Deferrable requests trigger no load until half of their allowed wait has passed. */
  deferrable: z.boolean().default(false),
});

export const limitsSchema = z.strictObject({
  /** Maximum number of requests of the tenant in progress or waiting at one daemon. */
  concurrentRequests: z.number().int().positive().default(512),
  /** Maximum number of requests waiting for one model. */
  queuedRequests: z.number().int().positive().default(1000),
  /** Maximum time in seconds to produce a response that is not streamed. */
  runSeconds: z.number().positive().default(600),
  /** Maximum size of the request body, in bytes. */
  bodyBytes: z.number().int().positive().default(262_144),
});

/** Parameters of a template. */
export const templateParametersSchema = z
  .strictObject({
    models: z.array(modelSchema).max(4000),
    priorityClasses: z
      .array(priorityClassSchema)
      .min(1)
      .default([
        {
          name: 'standard',
          priority: 50,
          defaultWaitSeconds: 30,
          maximumWaitSeconds: 300,
          deferrable: false,
        },
      ]),
    /** Priority class of requests that specify none. */
    defaultClass: name.default('standard'),
    limits: limitsSchema.prefault({}),
    /** Models whose requests are never treated as repeatable, regardless of what the caller states. */
    nonRepeatableModels: z.array(name).default([]),
    /** Retention time of idempotency keys, in seconds. */
    keyLifetimeSeconds: z.number().positive().max(86_400).default(600),
    /** Weight of cold-start time relative to idle accelerator time; 1 considers cold starts only. */
    coldStartWeight: z.number().min(0).max(1).default(0.5),
  })
  .superRefine((parameters, context) => {
    const classNames = new Set(parameters.priorityClasses.map((priorityClass) => priorityClass.name));
    if (!classNames.has(parameters.defaultClass)) {
      context.addIssue({
        code: 'custom',
        path: ['defaultClass'],
        message: 'is not one of the priority classes',
      });
    }
    const modelNames = new Set<string>();
    for (const [index, model] of parameters.models.entries()) {
      for (const modelName of [model.name, ...model.adapters.map((adapter) => adapter.name)]) {
        if (modelNames.has(modelName)) {
          context.addIssue({
            code: 'custom',
            path: ['models', index],
            message: `${modelName} is named twice`,
          });
        }
        modelNames.add(modelName);
      }
      if (model.replicas.minimum > model.replicas.maximum) {
        context.addIssue({
          code: 'custom',
          path: ['models', index, 'replicas', 'minimum'],
          message: 'is more than the maximum',
        });
      }
      if (model.keepAlive.minimumSeconds > model.keepAlive.maximumSeconds) {
        context.addIssue({
          code: 'custom',
          path: ['models', index, 'keepAlive', 'minimumSeconds'],
          message: 'is more than the maximum',
        });
      }
    }
  });

/** Roles of a token: callers send requests, operators change parameters. */
export const tokenSchema = z.strictObject({
  /** SHA-256 of the token, in lower-case hexadecimal. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal'),
  role: z.enum(['caller', 'operator']),
});

/** A named set of parameters, owned by a partner. */
export const templateSchema = z.strictObject({
  partner: name,
  parameters: templateParametersSchema,
});

/** A tenant, which takes its parameters from a template of the same partner. */
export const tenantSchema = z.strictObject({
  partner: name,
  template: name,
  tokens: z.array(tokenSchema).default([]),
});

/** A partner and the tokens of its operators. */
export const partnerSchema = z.strictObject({ tokens: z.array(tokenSchema).default([]) });

/** The deployment: its zones, over which replica limits are split, and the limits of the weight store. */
export const deploymentSchema = z.strictObject({
  zones: z.array(z.strictObject({ name, region: name })).min(1),
  /** Capacity of the weight store, shared by all zones. */
  weightStore: z
    .strictObject({
      /** Maximum number of concurrent loads. */
      concurrentLoads: z.number().int().positive().default(6),
      /** Maximum number of loads started per second. */
      loadsPerSecond: z.number().positive().default(3),
    })
    .prefault({}),
});

export type ModelParameters = z.infer<typeof modelSchema>;
export type AdapterParameters = z.infer<typeof adapterSchema>;
export type PriorityClass = z.infer<typeof priorityClassSchema>;
export type TemplateParameters = z.infer<typeof templateParametersSchema>;
export type Deployment = z.infer<typeof deploymentSchema>;

/** Schemas of the configuration objects, by kind. The kind is the first part of an object's key. */
export const OBJECT_SCHEMAS = {
  templates: templateSchema,
  tenants: tenantSchema,
  partners: partnerSchema,
  deployment: deploymentSchema,
} as const;

/** Kind of a configuration object. */
export type ObjectKind = keyof typeof OBJECT_SCHEMAS;

/** Returns the platform key of an object. */
export function objectKey(kind: ObjectKind, objectName: string): string {
  return `${kind}/${objectName}`;
}
