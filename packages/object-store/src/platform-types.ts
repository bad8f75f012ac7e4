/** Schemas and types of the platform's object API and machine list. */
import { z } from 'zod';

/** Schema of one version of an object; a null value marks a deletion. */
export const platformObjectSchema = z.object({
  key: z.string(),
  /** Revision of the store at which this version was written. */
  revision: z.number().int().nonnegative(),
  /** Id of the write that created this version. */
  operationId: z.string(),
  value: z.record(z.string(), z.unknown()).nullable(),
});

/** One version of an object; a null value marks a deletion. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

export const platformListSchema = z.object({
  revision: z.number().int().nonnegative(),
  items: z.array(platformObjectSchema),
});

/** All objects of the store at a revision. */
export type PlatformList = z.infer<typeof platformListSchema>;

export const platformVersionsSchema = z.object({ items: z.array(platformObjectSchema) });

export const platformConflictSchema = z.object({ current: platformObjectSchema.nullable() });

export const platformWrittenSchema = z.object({ revision: z.number().int().nonnegative() });

export const machineSchema = z.object({
  id: z.string(),
  kind: z.enum(['daemon', 'worker']),
  zone: z.string(),
  region: z.string(),
  /** Peer address of a daemon, or origin of a worker's engine. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** One machine of the machine list. */
export type Machine = z.infer<typeof machineSchema>;

export const machineListSchema = z.object({ machines: z.array(machineSchema) });
