/** Schema of scenario files: a deployment, its traffic and its faults. See docs/SCENARIOS.md. */
import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/);
/** A number, or bounds from which each use draws a number. */
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
  /** Share of all checkpoints that are on the local disk at the start. */
  diskCacheShare: z.number().min(0).max(1).default(0.3),
  /** Number of checkpoints in host memory at the start. */
  hostCacheCount: z.number().int().nonnegative().default(2),
});

/** A group of equal models named `<prefix>-<number>`. */
const modelGroupSchema = z.strictObject({
  prefix: name,
  count: z.number().int().positive(),
  /** Number of adapters of the group, spread evenly over its models. */
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
  /** Bursts whose requests all name one model. */
  z.strictObject({
    type: z.literal('bursts'),
    everySeconds: z.number().positive(),
    size: z.number().int().positive(),
    withinMs: z.number().nonnegative().default(200),
  }),
  /** A rate that varies with the time of day between a low and a high. */
  z.strictObject({
    type: z.literal('daily'),
    lowPerSecond: z.number().nonnegative(),
    highPerSecond: z.number().positive(),
    peakHour: z.number().min(0).max(24).default(14),
  }),
]);

const trafficSchema = z.strictObject({
  tenant: name,
  /** Prefix of the requested model group. */
  models: name,
  priorityClass: name.optional(),
  arrivals: arrivalsSchema,
  /** Zipf exponent of the models' popularity; 0 requests all models equally often. */
  popularity: z.number().nonnegative().default(1),
  /** Share of requests that name an adapter, if the model has any. */
  adapterShare: z.number().min(0).max(1).default(0),
  tokens: numberOrRange.default([8, 64]),
  streamingShare: z.number().min(0).max(1).default(0.5),
  /** Share of requests with an idempotency key; these are retried at another daemon when the outcome is unknown. */
  keyedShare: z.number().min(0).max(1).default(0),
  /** Share of requests marked as not repeatable. */
  notRepeatableShare: z.number().min(0).max(1).default(0),
  /** Allowed wait in milliseconds; defaults to that of the priority class. */
  waitMs: numberOrRange.optional(),
  /** Maximum number of retries of a request that was refused as not run or whose response was lost. */
  retries: z.number().int().nonnegative().default(0),
});

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
  /** Start of the fault in seconds after the start of traffic. */
  at: z.number().nonnegative(),
  /** Duration in seconds; for a killed process, the time until its replacement starts. */
  durationSeconds: z.number().nonnegative().default(10),
  /** Name of the affected daemon, worker, zone or tenant; drawn at random when absent. */
  target: z.string().optional(),
});

const randomFaultSchema = z.strictObject({
  type: z.enum(FAULT_TYPES),
  perHour: z.number().positive(),
  durationSeconds: numberOrRange.default([2, 20]),
});

export const scenarioSchema = z.strictObject({
  name,
  /** Length of the traffic phase in virtual seconds. */
  durationSeconds: z.number().positive(),
  /** Seconds between the start of the deployment and the start of traffic and faults. */
  warmUpSeconds: z.number().nonnegative().default(15),
  /** Seconds after the traffic phase in which the deployment must recover from all faults. */
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
  /** Share of frames that the network loses and the transport retransmits. */
  lossRate: z.number().min(0).max(0.5).default(0),
  /** Maximum relative deviation of a machine's clock rate from true time. */
  clockDrift: z.number().min(0).max(0.01).default(0.001),
  workers: z.array(workersSchema).min(1),
  weightStore: z
    .strictObject({ concurrentLoads: z.number().int().positive(), loadsPerSecond: z.number().positive() })
    .prefault({ concurrentLoads: 6, loadsPerSecond: 3 }),
  /** Milliseconds until a change is visible in the machine list. */
  machineListLagMs: z.number().nonnegative().default(1500),
  tokensPerChunk: z.number().int().positive().default(8),
  tenants: z.array(tenantSchema).min(1),
  traffic: z.array(trafficSchema),
  faults: z.array(faultSchema).default([]),
  randomFaults: z.array(randomFaultSchema).default([]),
});

/** A validated scenario with all defaults applied. */
export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioTenant = z.infer<typeof tenantSchema>;
export type ScenarioTraffic = z.infer<typeof trafficSchema>;
export type FaultType = (typeof FAULT_TYPES)[number];
export type NumberOrRange = z.infer<typeof numberOrRange>;
