/** An endpoint on a TCP socket, for responses that no HTTP library would send. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { TestContext } from 'node:test';

/** A call, identified by its attempt id header. */
export interface RawCall {
  readonly id: string;
}

/** A listening endpoint with its connections and calls. */
export interface RawEndpoint {
  readonly port: number;
  /** Open connections. */
  readonly sockets: ReadonlySet<Socket>;
  readonly calls: readonly RawCall[];
}

/** Passes each call to a handler until the test ends. Expects head and body of a call in one chunk. */
export async function startRawEndpoint(
  context: TestContext,
  handle: (socket: Socket, call: RawCall) => void,
): Promise<RawEndpoint> {
  const sockets = new Set<Socket>();
  const calls: RawCall[] = [];
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      const id = /shallotrock-attempt-id: (\S+)/i.exec(bytes.toString())?.[1];
      if (id !== undefined) {
        calls.push({ id });
        handle(socket, { id });
      }
    });
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { port: (server.address() as AddressInfo).port, sockets, calls };
}
