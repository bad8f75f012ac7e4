/**
 * Decides from the route, the configured tenants and the key of a request whether it may run, and as which tenant.
 *
 * | tenants | key | public route | other route |
 * | --- | --- | --- | --- |
 * | none configured | any | runs without a tenant | runs without a tenant |
 * | some | none | runs without a tenant | denied |
 * | some | held by a tenant | runs as that tenant | runs as that tenant |
 * | some | unknown | denied | denied |
 *
 * An unknown key is denied on public routes as well, so that callers notice a revoked or mistyped key.
 */
import type { Route } from './route.js';
import type { Tenant, TenantTable } from './tenant.js';

/** Whether a request may run. */
export type CallerAccess =
  /** It may run; the tenant is absent for requests without a key. */
  { readonly kind: 'granted'; readonly tenant?: Tenant } | { readonly kind: 'denied' };

const ANONYMOUS: CallerAccess = { kind: 'granted' };
const DENIED: CallerAccess = { kind: 'denied' };

/** Looks up a request in the table above. @param keyDigest Digest of its key; undefined if it has none. */
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
