/** Authenticates requests by bearer token. The configuration stores only digests of tokens. */
import { createHash } from 'node:crypto';
import type { Catalog, ConfigurationStore, Principal } from '@woodbarrow/configuration';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { HttpRequest } from '@woodbarrow/runtime';

/** The operator of the whole deployment, named in the settings. */
export interface Administrator {
  readonly role: 'administrator';
}

/** An authenticated sender of requests. */
export type Identity = Principal | Administrator;

const BEARER = /^Bearer\s+(\S+)$/i;
const MAX_CACHED_TOKENS = 10_000;

/** Resolves bearer tokens to identities. Results are cached until the configuration revision changes. */
export class Authenticator {
  private cache = new Map<string, Identity>();
  private cachedRevision = -1;

  /** @param administratorSha256 Digest of the administrator's token; no token is accepted for this role when absent. */
  constructor(
    private readonly store: ConfigurationStore,
    private readonly catalog: Catalog,
    private readonly administratorSha256?: string,
  ) {}

  /**
   * Returns the identity of a request's sender.
   *
   * @throws WoodbarrowError `unauthenticated` when the token is missing or unknown.
   */
  identify(request: HttpRequest): Identity {
    const token = BEARER.exec(request.headers['authorization'] ?? '')?.[1];
    if (token === undefined)
      throw new WoodbarrowError('unauthenticated', 'the Authorization header has no bearer token');
    if (this.cachedRevision !== this.store.revision || this.cache.size > MAX_CACHED_TOKENS) {
      this.cache = new Map();
      this.cachedRevision = this.store.revision;
    }
    const identity = this.cache.get(token) ?? this.lookUp(token);
    if (identity === undefined) throw new WoodbarrowError('unauthenticated', 'unknown bearer token');
    this.cache.set(token, identity);
    return identity;
  }

  private lookUp(token: string): Identity | undefined {
    const sha256 = hashToken(token);
    if (sha256 === this.administratorSha256) return { role: 'administrator' };
    return this.catalog.principal(sha256);
  }
}

/** Returns the SHA-256 of a token in lower-case hexadecimal, as stored in the configuration. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
