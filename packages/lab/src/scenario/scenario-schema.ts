/** Schema of scenario files: a deployment, its traffic and its faults. Described in docs/SCENARIOS.md. */
import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/);
/** A number, or bounds between which each use draws one. */
const numberOrRange = z.union([z.number(), z.tuple([z.number(), z.number()])]);

const zoneSchema = z.strictObject({
  name,
  region: name.default('default'),
  daemons: z.number().int().positive().default(3),
});

const workersSchema = z.strictObject({
  zone: name,
  count: z.number().int().positive(),
  accelerators: z.number().int().positive().default(2),
  /** Accelerator memory of one worker in GiB. */
  memoryGib: z.number().positive().default(160),
  /** Share of all checkpoints on the local disk at the start. */
  diskCacheShare: z.number().min(0).max(1).default(0.3),
  /** Checkpoints in host memory at the start. */
  hostCacheCount: z.number().int().nonnegative().default(2),
});

/** Many models alike, named `<prefix>-<number>`. */
const modelGroupSchema = z.strictObject({
  prefix: name,
  count: z.number().int().positive(),
  /** Adapters over the whole group, spread evenly. */
  adapters: z.number().int().nonnegative().default(0),
  memoryGib: numberOrRange.default(40),
  concurrency: z.number().int().positive().default(8),
  loadSeconds: z
    .strictObject({ host: numberOrRange, disk: numberOrRange, remote: numberOrRange })
    .prefault({ host: 2, disk: 8, remote: 30 }),
  replicas: z
    .strictObject({
      minimum: z.number().int().nonnegative().default(0),
      maximum: z.number().int().positive().default(1),
      maximumPerZone: z.number().int().positive().default(4),
    })
    .prefault({}),
  keepAlive: z
    .strictObject({ minimumSeconds: z.number().default(10), maximumSeconds: z.number().default(600) })
    .prefault({}),
});

const tenantSchema = z.strictObject({
  name,
  partner: name,
  modelGroups: z.array(modelGroupSchema).min(1),
  /** All other template parameters. */
  parameters: z.looseObject({}).default({}),
});

const arrivalsSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('poisson'), perSecond: z.number().positive() }),
  /** All requests of a burst ask for one model. */
  z.strictObject({
    type: z.literal('bursts'),
    everySeconds: z.number().positive(),
    size: z.number().int().positive(),
    withinMs: z.number().nonnegative().default(200),
  }),
  /** A rate that follows the hours of the day between a low and a high. */
  z.strictObject({
    type: z.literal('daily'),
    lowPerSecond: z.number().nonnegative(),
    highPerSecond: z.number().positive(),
    peakHour: z.number().min(0).max(24).default(14),
  }),
]);

const trafficSchema = z.strictObject({
  tenant: name,
  /** Prefix of the model group that is asked for. */
  models: name,
  priorityClass: name.optional(),
  arrivals: arrivalsSchema,
  /** Exponent of the models' popularity; 0 asks for all alike. */
  popularity: z.number().nonnegative().default(1),
  /** Share that asks for an adapter, where the model has any. */
  adapterShare: z.number().min(0).max(1).default(0),
  tokens: numberOrRange.default([8, 64]),
  streamingShare: z.number().min(0).max(1).default(0.5),
  /** Share with an idempotency key, sent again at another daemon when the answer does not settle it. */
  keyedShare: z.number().min(0).max(1).default(0),
  /** Share marked as not repeatable. */
  notRepeatableShare: z.number().min(0).max(1).default(0),
  /** Allowed wait in milliseconds; the class's own when absent. */
  waitMs: numberOrRange.optional(),
  /** Times that a caller sends a request again that was refused as not run, or whose answer was lost. */
  retries: z.number().int().nonnegative().default(0),
});

/** Kinds of faults. */
export const FAULT_TYPES = [
  'kill-daemon',
  'drain-daemon',
  'pause-daemon',
  'kill-worker',
  'reclaim-worker',
  'cut-zone',
  'cut-daemon',
  'cut-one-way',
  'platform-down',
  'platform-slow',
  'platform-loses-answers',
  'weight-store-slow',
  'operator-race',
] as const;

const faultSchema = z.strictObject({
  type: z.enum(FAULT_TYPES),
  /** Second at which the fault begins. */
  at: z.number().nonnegative(),
  /** Seconds that it lasts; for a killed process, until its replacement starts. */
  durationSeconds: z.number().nonnegative().default(10),
  /** What it hits; drawn at random when absent. */
  target: z.string().optional(),
});

const randomFaultSchema = z.strictObject({
  type: z.enum(FAULT_TYPES),
  perHour: z.number().positive(),
  durationSeconds: numberOrRange.default([2, 20]),
});

export const scenarioSchema = z.strictObject({
  name,
  /** Virtual seconds during which requests are sent. */
  durationSeconds: z.number().positive(),
  /** Seconds before the first request and fault, in which the deployment starts. */
  warmUpSeconds: z.number().nonnegative().default(15),
  /** Seconds after the last fault's end in which everything must settle. */
  settleSeconds: z.number().nonnegative().default(60),
  zones: z.array(zoneSchema).min(1),
  latency: z
    .strictObject({
      sameZoneMs: z.number().positive().default(0.3),
      crossZoneMs: z.number().positive().default(1.2),
      crossRegionMs: z.number().positive().default(25),
      clientMs: z.number().positive().default(1),
    })
    .prefault({}),
  /** Share of frames that the network loses and the transport sends again. */
  lossRate: z.number().min(0).max(0.5).default(0),
  /** Largest difference of a machine's clock rate from true time, as a share. */
  clockDrift: z.number().min(0).max(0.01).default(0.001),
  workers: z.array(workersSchema).min(1),
  weightStore: z
    .strictObject({ concurrentLoads: z.number().int().positive(), loadsPerSecond: z.number().positive() })
    .prefault({ concurrentLoads: 6, loadsPerSecond: 3 }),
  /** Milliseconds until the machine list shows a change. */
  machineListLagMs: z.number().nonnegative().default(1500),
  tokensPerChunk: z.number().int().positive().default(8),
  tenants: z.array(tenantSchema).min(1),
  traffic: z.array(trafficSchema),
  faults: z.array(faultSchema).default([]),
  randomFaults: z.array(randomFaultSchema).default([]),
});

/** A checked scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioTenant = z.infer<typeof tenantSchema>;
export type ScenarioTraffic = z.infer<typeof trafficSchema>;
export type FaultType = (typeof FAULT_TYPES)[number];
export type NumberOrRange = z.infer<typeof numberOrRange>;
