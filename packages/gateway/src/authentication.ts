/** Who sends a request, by bearer token. Only digests of tokens are kept. */
import { createHash } from 'node:crypto';
import type { Catalog, ConfigurationStore, Principal } from '@woodbarrow/configuration';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { HttpRequest } from '@woodbarrow/runtime';

/** The operator of the whole deployment, named in the settings. */
export interface Administrator {
  readonly role: 'administrator';
}

/** Anyone who may send requests. */
export type Identity = Principal | Administrator;

const BEARER = /^Bearer\s+(\S+)$/i;
const MAX_CACHED_TOKENS = 10_000;

/** Looks tokens up; digests are cached while the configuration stays the same. */
export class Authenticator {
  private cache = new Map<string, Identity>();
  private cachedRevision = -1;

  /** @param administratorSha256 Digest of the administrator's token; nobody is administrator when absent. */
  constructor(
    private readonly store: ConfigurationStore,
    private readonly catalog: Catalog,
    private readonly administratorSha256?: string,
  ) {}

  /** @throws WoodbarrowError `unauthenticated` */
  identify(request: HttpRequest): Identity {
    const token = BEARER.exec(request.headers['authorization'] ?? '')?.[1];
    if (token === undefined) throw new WoodbarrowError('unauthenticated', 'send a bearer token');
    if (this.cachedRevision !== this.store.revision || this.cache.size > MAX_CACHED_TOKENS) {
      this.cache = new Map();
      this.cachedRevision = this.store.revision;
    }
    const identity = this.cache.get(token) ?? this.lookUp(token);
    if (identity === undefined) throw new WoodbarrowError('unauthenticated', 'the token is not known');
    this.cache.set(token, identity);
    return identity;
  }

  private lookUp(token: string): Identity | undefined {
    const sha256 = hashToken(token);
    if (sha256 === this.administratorSha256) return { role: 'administrator' };
    return this.catalog.principal(sha256);
  }
}

/** SHA-256 of a token in lower-case hexadecimal, as kept in the configuration. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
