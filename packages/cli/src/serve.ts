/** `woodbarrow serve`: runs one daemon until it is stopped. */
import { Daemon, createSystemEnvironment } from '@woodbarrow/daemon';
import type { Settings } from '@woodbarrow/settings';
import { EXIT_CODES } from './exit-codes.js';

/** Runs a daemon; resolves with the exit code when it has stopped. The first signal drains it, the second aborts it. */
export async function serve(settings: Settings): Promise<number> {
  const environment = createSystemEnvironment(settings);
  const daemon = new Daemon(settings, environment);
  await daemon.start();
  const stopped = new Promise<number>((resolve) => {
    let signalled = false;
    const onSignal = (): void => {
      if (signalled) {
        daemon.abort();
        resolve(EXIT_CODES.failure);
        return;
      }
      signalled = true;
      void daemon.drain().then(() => {
        resolve(EXIT_CODES.success);
      });
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
    daemon.onStopped(() => {
      resolve(EXIT_CODES.success);
    });
  });
  return stopped;
}
