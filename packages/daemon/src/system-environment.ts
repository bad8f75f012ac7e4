/** Environment of a daemon in production: system clock, sockets and HTTP. */
import { createEventLog } from '@woodbarrow/observability';
import {
  SystemClock,
  TcpTransport,
  UndiciHttpClient,
  serveHttp,
  systemRandom,
  tlsFromFiles,
} from '@woodbarrow/runtime';
import type { Settings } from '@woodbarrow/settings';
import type { DaemonEnvironment } from './daemon-environment.js';

/** Creates the environment according to the settings. */
export function createSystemEnvironment(settings: Settings): DaemonEnvironment {
  const { tls, log, id, zone } = settings;
  return {
    clock: new SystemClock(),
    random: systemRandom(),
    transport: tls.peers === undefined ? new TcpTransport() : new TcpTransport(tlsFromFiles(tls.peers)),
    http: new UndiciHttpClient(),
    serveHttp,
    log: createEventLog({ level: log.level, fields: { daemon: id, zone } }),
  };
}
