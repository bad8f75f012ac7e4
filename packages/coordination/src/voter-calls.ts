/** Concurrent calls to all voters of a set. */
import type { PeerMethod, Seat, VoterSet } from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';

/** Whether `count` voters are a majority of the set. */
export function isMajority(count: number, set: VoterSet): boolean {
  return count * 2 > set.voters.length;
}

/** Calls all voters and returns the responses received; resolves early once `isEnough` accepts them. */
export function callVoters<Request, Response>(
  peers: PeerNetwork,
  set: VoterSet,
  method: PeerMethod<Request, Response>,
  requestFor: (seat: Seat) => Request,
  timeoutMs: number,
  isEnough: (answers: readonly Response[]) => boolean = () => false,
): Promise<Response[]> {
  return new Promise((resolve) => {
    const answers: Response[] = [];
    let outstanding = set.voters.length;
    const settled = (): void => {
      outstanding -= 1;
      if (outstanding === 0 || isEnough(answers)) resolve([...answers]);
    };
    if (outstanding === 0) resolve([]);
    for (const voter of set.voters) {
      const seat: Seat = { group: set.group, epoch: set.epoch, instance: voter.instance };
      peers.call(voter.address, method, requestFor(seat), { timeoutMs }).then((answer) => {
        answers.push(answer);
        settled();
      }, settled);
    }
  });
}
