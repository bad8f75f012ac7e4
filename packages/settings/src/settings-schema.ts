/** Schema of a daemon's settings. */
import { z } from 'zod';

const addressSchema = z
  .string()
  .regex(/^(\[[0-9a-fA-F:]+\]|\d{1,3}(\.\d{1,3}){3}):\d{1,5}$/, 'an address as ip:port');
const originSchema = z.string().regex(/^https?:\/\/[^/]+$/, 'an origin as http://ip:port');
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/, 'lower-case letters, digits, dots and dashes');

const serverTlsSchema = z.strictObject({ certificate: z.string(), key: z.string() });
const peerTlsSchema = z.strictObject({ certificate: z.string(), key: z.string(), authority: z.string() });

export const settingsSchema = z.strictObject({
  /** Name of the deployment; daemons of different deployments refuse each other. */
  deployment: nameSchema,
  /** Unique name of this daemon, kept over restarts. */
  id: nameSchema,
  zone: nameSchema,
  region: nameSchema.default('default'),
  listen: z.strictObject({
    /** Callers' API. */
    callers: addressSchema,
    /** Operators' API, metrics and health. */
    operators: addressSchema,
    /** Links between daemons. */
    peers: addressSchema,
  }),
  platform: z.strictObject({
    /** Origin of the object API. */
    objects: originSchema,
    /** Origin of the machine list. */
    machines: originSchema,
  }),
  /** Peer addresses to join through, besides the machine list. */
  seeds: z.array(addressSchema).default([]),
  /** Digest of the administrator's token. */
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
      /** Requests that this daemon holds at once. */
      maximumRequests: z.number().int().positive().default(4096),
      /** Largest body of any request, in bytes. */
      maximumBodyBytes: z.number().int().positive().default(1_048_576),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Seconds that a planned stop waits for requests in progress. */
      graceSeconds: z.number().positive().default(120),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info') })
    .prefault({}),
});

/** A daemon's settings, checked and complete. */
export type Settings = z.infer<typeof settingsSchema>;

/** The schema in JSON Schema form. */
export function settingsJsonSchema(): object {
  return z.toJSONSchema(settingsSchema, { io: 'input' });
}
