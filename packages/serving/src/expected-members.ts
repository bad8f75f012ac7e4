/** Daemons of the deployment as far as one daemon knows, also before its membership has met them. */
import type { Member } from '@woodbarrow/exchange';
import type { Membership } from '@woodbarrow/membership';
import type { MemberRegistration } from './member-registration.js';

/** Returns the eligible members and, shortly after the start, registered daemons that the membership has not contacted yet. */
export function expectedMembers(
  membership: Membership,
  { provisionalMembers }: MemberRegistration,
): readonly Member[] {
  const provisional = provisionalMembers.filter(({ id }) => membership.get(id) === undefined);
  return provisional.length === 0 ? membership.eligible() : [...membership.eligible(), ...provisional];
}
