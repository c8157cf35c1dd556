/** A TLS server and its callers with a pre-shared key, for tests without certificates. */
import { createServer, type Server, type ServerOptions } from 'node:https';
import type { Socket } from 'node:net';
import { connect } from 'node:tls';

const PSK = Buffer.alloc(16, 'k');
const PSK_OPTIONS = { ciphers: 'PSK-AES128-GCM-SHA256', maxVersion: 'TLSv1.2' as const };

/** Creates a server to which `connectToTlsServer` connects. */
export function createTlsServer(options: ServerOptions = {}): Server {
  return createServer({ ...options, ...PSK_OPTIONS, pskCallback: () => PSK });
}

/** Connects to a server of `createTlsServer` on this machine. */
export function connectToTlsServer(port: number): Socket {
  return connect({
    ...PSK_OPTIONS,
    port,
    host: '127.0.0.1',
    checkServerIdentity: () => undefined,
    pskCallback: () => ({ psk: PSK, identity: 'caller' }),
  });
}
