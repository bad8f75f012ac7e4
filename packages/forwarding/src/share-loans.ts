/** Port: parts of the daemons' shares of back ends that those with little traffic lend to those with much. */

/** Loans of one daemon. */
export interface ShareLoans {
  /** Number of requests that other daemons let this one run at a back end beyond its own share. */
  borrowed(backEndId: string): number;
  /** Number of requests of its own share that this daemon lets others run at a back end. */
  lent(backEndId: string): number;
  /** Records that a request found the own share of a back end in use. */
  noteShortage(backEndId: string): void;
}
