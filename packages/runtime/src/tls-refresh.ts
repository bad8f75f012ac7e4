/** Keys for TLS that are read again while the server runs, so that certificates can be replaced without a restart. */
import { readFileSync } from 'node:fs';
import type { SecureContextOptions } from 'node:tls';

/** The keys as they are now. */
export type TlsSource = () => SecureContextOptions;

/** Files with PEM-encoded keys. */
export interface TlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Authority that signs the other side's certificates. */
  readonly authority?: string;
}

const REFRESH_INTERVAL_MS = 5000;

/** Reads keys from files on each call. */
export function tlsFromFiles(files: TlsFiles): TlsSource {
  return () => ({
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ...(files.authority === undefined ? {} : { ca: readFileSync(files.authority) }),
  });
}

/** Gives a server new keys every few seconds; keys that cannot be read leave the present ones. Returns the stop. */
export function refreshTls(server: object, source: TlsSource): () => void {
  const timer = setInterval(() => {
    try {
      (server as { setSecureContext(options: SecureContextOptions): void }).setSecureContext(source());
    } catch {
      // The files are being replaced right now; the next round reads them.
    }
  }, REFRESH_INTERVAL_MS);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
