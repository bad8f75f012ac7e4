/** Calls the quota allocator of a zone, which runs on the zone's coordinator. */
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { CallFailures } from '@woodbarrow/observability';
import type { CallOptions, PeerNetwork } from '@woodbarrow/peering';
import type { PeerMethod } from '@woodbarrow/protocol';

/** Dependencies of {@link callAllocator}. */
export interface AllocatorAccess {
  readonly coordinators: CoordinatorDirectory;
  readonly peers: Pick<PeerNetwork, 'call'>;
  readonly failures: CallFailures;
}

/** Maximum wait for an allocator to respond, in milliseconds. */
export const ALLOCATION_TIMEOUT_MS = 300;

/**
 * Calls the allocator of a zone. Returns undefined if the zone has no allocator or it does not
 * respond. Never rejects.
 */
export async function callAllocator<Message, Answer>(
  { coordinators, peers, failures }: AllocatorAccess,
  zone: string,
  method: PeerMethod<Message, Answer>,
  message: Message,
  options: CallOptions = { timeoutMs: ALLOCATION_TIMEOUT_MS },
): Promise<Answer | undefined> {
  const coordinator = coordinators.of(zone);
  if (coordinator === undefined) return undefined;
  try {
    return await peers.call(coordinator.address, method, message, options);
  } catch (error) {
    // Units granted in a lost response expire unused.
    failures.record(method.name, coordinator.memberId, error);
    return undefined;
  }
}
