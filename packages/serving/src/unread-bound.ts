/** Bound on the memory that unread answers take on one daemon. */
import { UnreadAnswers, UnreadBudget, unreadBudgetBytes } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { ServingSettings } from './serving-settings.js';

/** Creates the bound where callers compete for capacity; elsewhere undefined, and only each stream has a bound. */
export function createUnreadAnswers(
  settings: Pick<ServingSettings, 'hasContendedCapacity' | 'memoryMb'>,
  clock: Clock,
  log: EventLog,
): UnreadAnswers | undefined {
  if (!settings.hasContendedCapacity) return undefined;
  return new UnreadAnswers(new UnreadBudget(unreadBudgetBytes(settings.memoryMb)), clock, log);
}
