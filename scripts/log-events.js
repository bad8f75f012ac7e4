// Writes docs/LOGS.md from the list of log events. Needs a build.
import { writeFileSync } from 'node:fs';
import { renderLogEvents } from '@woodbarrow/observability';

writeFileSync(new URL('../docs/LOGS.md', import.meta.url), renderLogEvents());
