/** Typed method names for calls between daemons. */

/** A method that one daemon calls on another, with its request and response types. */
export interface PeerMethod<Request, Response> {
  readonly name: string;
  /** Never set at run time; carries the type parameters. */
  readonly types?: { readonly request: Request; readonly response: Response };
}

/** Declares a method. Its name must be unique and has the form `<area>.<call>`. */
export function definePeerMethod<Request, Response>(name: string): PeerMethod<Request, Response> {
  return { name };
}
