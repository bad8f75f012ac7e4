/** One question to the granter of a zone. */
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { PeerMethod } from '@woodbarrow/protocol';

/** What a question needs. */
export interface AllocatorAccess {
  readonly coordinators: CoordinatorDirectory;
  readonly peers: Pick<PeerNetwork, 'call'>;
  readonly failures: CallFailures;
}

/** Time that a granter has to answer, in milliseconds; one that is slower is as good as gone. */
const ALLOCATION_TIMEOUT_MS = 300;

/** Undefined where the zone has no granter, or it does not answer. Never rejects. */
export async function callAllocator<Message, Answer>(
  { coordinators, peers, failures }: AllocatorAccess,
  zone: string,
  method: PeerMethod<Message, Answer>,
  message: Message,
): Promise<Answer | undefined> {
  const coordinator = coordinators.of(zone);
  if (coordinator === undefined) return undefined;
  try {
    return await peers.call(coordinator.address, method, message, { timeoutMs: ALLOCATION_TIMEOUT_MS });
  } catch (error) {
    // Units that were handed out in an answer that is lost lapse unused.
    failures.note(method.name, coordinator.memberId, error);
    return undefined;
  }
}
