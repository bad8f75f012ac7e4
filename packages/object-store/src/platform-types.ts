/** Shapes of the platform's object API. */
import { z } from 'zod';

/** One version of one object. A null value is a deletion. */
export const platformObjectSchema = z.object({
  key: z.string(),
  /** Revision of the whole store at this object's last change. */
  revision: z.number().int().nonnegative(),
  /** Identifies the write that made this version. */
  operationId: z.string(),
  value: z.record(z.string(), z.unknown()).nullable(),
});

/** One version of one object. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

export const platformListSchema = z.object({
  revision: z.number().int().nonnegative(),
  items: z.array(platformObjectSchema),
});

/** The store's content at a revision. */
export type PlatformList = z.infer<typeof platformListSchema>;

export const platformVersionsSchema = z.object({ items: z.array(platformObjectSchema) });

export const platformConflictSchema = z.object({ current: platformObjectSchema.nullable() });

export const platformWrittenSchema = z.object({ revision: z.number().int().nonnegative() });

export const machineSchema = z.object({
  id: z.string(),
  kind: z.enum(['daemon', 'worker']),
  zone: z.string(),
  region: z.string(),
  /** Peer address of a daemon, origin of a worker's engine. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** One machine of the platform's list. */
export type Machine = z.infer<typeof machineSchema>;

export const machineListSchema = z.object({ machines: z.array(machineSchema) });
