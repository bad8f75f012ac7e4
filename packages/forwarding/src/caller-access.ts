/**
 * Whether a request may run as to who sends it: a table of the route, the tenants in force and the key that came with it.
 *
 * | tenants | key | public route | other route |
 * | --- | --- | --- | --- |
 * | none configured | any | runs in nobody's name | runs in nobody's name |
 * | some | none | runs in nobody's name | denied |
 * | some | held by a tenant | runs as that tenant | runs as that tenant |
 * | some | held by nobody | denied | denied |
 *
 * A key that nobody holds is denied on public routes as well: it was taken away, or never given out, and its sender should know.
 */
import type { Route } from './route.js';
import type { Tenant, TenantTable } from './tenant.js';

/** What a request may do. */
export type CallerAccess =
  /** It may run, in the name of a tenant where it has one. */
  { readonly kind: 'granted'; readonly tenant?: Tenant } | { readonly kind: 'denied' };

const ANONYMOUS: CallerAccess = { kind: 'granted' };
const DENIED: CallerAccess = { kind: 'denied' };

/** Looks a request up in the table above. @param keyDigest Digest of its key; undefined where it has none. */
export function resolveAccess(
  route: Route,
  tenants: TenantTable | undefined,
  keyDigest: string | undefined,
): CallerAccess {
  if (tenants === undefined) return ANONYMOUS;
  if (keyDigest === undefined) return route.isPublic ? ANONYMOUS : DENIED;
  const tenant = tenants.holderOf(keyDigest);
  return tenant === undefined ? DENIED : { kind: 'granted', tenant };
}
