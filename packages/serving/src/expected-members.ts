/** Daemons of the deployment as far as one daemon knows, also before its membership has met them. */
import type { Member } from '@woodbarrow/exchange';
import type { Membership } from '@woodbarrow/membership';
import type { MemberRegistration } from './member-registration.js';

/** Returns the eligible members and, shortly after the start, registered daemons that the membership has not contacted yet. */
export function expectedMembers(membership: Membership, registration: MemberRegistration): readonly Member[] {
  return withProvisional(membership.eligible(), membership, registration);
}

/**
 * Returns the daemons among which limits of the back ends are divided: also those that are about to leave or do not answer, since their
 * requests are still in progress.
 */
export function sharingMembers(membership: Membership, registration: MemberRegistration): readonly Member[] {
  return withProvisional(membership.present(), membership, registration);
}

function withProvisional(
  members: readonly Member[],
  membership: Membership,
  { provisionalMembers }: MemberRegistration,
): readonly Member[] {
  const provisional = provisionalMembers.filter(({ id }) => membership.get(id) === undefined);
  return provisional.length === 0 ? members : [...members, ...provisional];
}
