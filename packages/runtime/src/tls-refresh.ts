/** Periodic reload of TLS certificates and keys, so that they can be replaced without a restart. */
import { readFileSync } from 'node:fs';
import type { SecureContextOptions } from 'node:tls';

/** Returns the current certificate and key. */
export type TlsSource = () => SecureContextOptions;

/** Paths of PEM-encoded certificate and key files. */
export interface TlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificate authority that signs the certificates of peers. */
  readonly authority?: string;
}

const REFRESH_INTERVAL_MS = 5000;

/** Returns a source that reads the files on each call. @throws Error from that source when a file cannot be read. */
export function tlsFromFiles(files: TlsFiles): TlsSource {
  return () => ({
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ...(files.authority === undefined ? {} : { ca: readFileSync(files.authority) }),
  });
}

/** Reloads the certificate and key of a server periodically; keeps the current ones when loading fails. Returns a function that stops the reload. */
export function refreshTls(server: object, source: TlsSource): () => void {
  const timer = setInterval(() => {
    try {
      (server as { setSecureContext(options: SecureContextOptions): void }).setSecureContext(source());
    } catch {
      // The files may be in the middle of a replacement; the next reload tries again.
    }
  }, REFRESH_INTERVAL_MS);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
