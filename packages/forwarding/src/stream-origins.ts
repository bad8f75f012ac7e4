/** Port: memory of where streams began, shared by all daemons. */

/** Service and software version of the worker that brought the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** Where the origin of a stream is known from. */
export type OriginSource =
  /** This daemon, which began the stream or keeps a copy for the one that did. */
  | 'own'
  /** Another daemon. */
  | 'peer'
  /** The service has had only one version for longer than the stream may have lasted. */
  | 'only_version'
  /** A record of the store: all streams that may be taken up have begun at one version, or where this one began. */
  | 'store';

/** Result of looking up a stream. */
export type OriginLookup =
  | { readonly kind: 'known'; readonly origin: StreamOrigin; readonly source: OriginSource }
  /** @param asked Daemons that were asked. @param answered Those of them that answered. */
  | { readonly kind: 'unknown'; readonly asked: number; readonly answered: number };

/** Remembers where streams began for as long as clients may take them up. */
export interface StreamOrigins {
  /**
   * Records that a stream has begun, before its client receives the first event. A stream that is already recorded keeps its origin and is
   * kept for longer.
   *
   * @param streamId Id of the request that brought the first event.
   * @param retainMs Milliseconds for which the stream may be taken up.
   */
  record(streamId: string, origin: StreamOrigin, retainMs: number): void;
  /** Looks a stream up here and at other daemons. Never rejects. */
  find(streamId: string): Promise<OriginLookup>;
  /** Whether the back ends of a service are known and none of them names a software version. */
  hasNoVersions(service: string): boolean;
  /**
   * Returns the only software version of a service for as long as `withinMs`; undefined if there were several, or if this daemon cannot
   * know that there were not.
   */
  onlyVersion(service: string, withinMs: number): string | undefined;
  /**
   * Returns the only software version at which a stream of the service can have begun, according to the store; undefined if there are
   * several or it is not known. Never rejects.
   */
  onlyVersionRecorded(service: string): Promise<string | undefined>;
  /** Looks up the origin of a stream that a daemon has stored; undefined if none has. Never rejects. */
  findRecorded(streamId: string): Promise<StreamOrigin | undefined>;
}
