/** Schema of a daemon's settings file. */
import { z } from 'zod';

const addressSchema = z
  .string()
  .regex(/^(\[[0-9a-fA-F:]+\]|\d{1,3}(\.\d{1,3}){3}):\d{1,5}$/, 'an address as ip:port');
const originSchema = z.string().regex(/^https?:\/\/[^/]+$/, 'an origin as http://ip:port');
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/, 'lower-case letters, digits, dots and dashes');

const serverTlsSchema = z.strictObject({ certificate: z.string(), key: z.string() });
const peerTlsSchema = z.strictObject({ certificate: z.string(), key: z.string(), authority: z.string() });

export const settingsSchema = z.strictObject({
  /** Name of the deployment; daemons of different deployments reject each other. */
  deployment: nameSchema,
  /** Unique name of this daemon, unchanged by a restart. */
  id: nameSchema,
  zone: nameSchema,
  region: nameSchema.default('default'),
  listen: z.strictObject({
    /** Address of the callers' API. */
    callers: addressSchema,
    /** Address of the operators' API, metrics and health checks. */
    operators: addressSchema,
    /** Address for connections from other daemons. */
    peers: addressSchema,
  }),
  platform: z.strictObject({
    objects: originSchema,
    machines: originSchema,
  }),
  /** Peer addresses for joining the fleet, in addition to the machine list. */
  seeds: z.array(addressSchema).default([]),
  /** SHA-256 digest of the administrator's token, in hexadecimal. */
  administratorTokenSha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')
    .optional(),
  tls: z
    .strictObject({
      callers: serverTlsSchema.optional(),
      operators: serverTlsSchema.optional(),
      /** Mutual TLS between daemons. */
      peers: peerTlsSchema.optional(),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /** Maximum number of concurrent requests of this daemon. */
      maximumRequests: z.number().int().positive().default(4096),
      /** Maximum size of a request body, in bytes. */
      maximumBodyBytes: z.number().int().positive().default(1_048_576),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Maximum time in seconds that a planned stop waits for requests in progress. */
      graceSeconds: z.number().positive().default(120),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info') })
    .prefault({}),
});

/** Validated settings of a daemon, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;

/** Returns {@link settingsSchema} as a JSON Schema of the settings file. */
export function settingsJsonSchema(): object {
  return z.toJSONSchema(settingsSchema, { io: 'input' });
}
