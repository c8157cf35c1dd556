/** An endpoint that crashes under some calls: all its connections are reset, and it accepts no more. */
import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { EndpointHandler } from './gatewayFleet.js';

/** Options of an endpoint. */
export interface CrashingEndpointOptions {
  readonly isDeadly: (message: IncomingMessage) => boolean;
  /** Handles the calls that are not deadly. */
  readonly handle: EndpointHandler;
}

/** A listening endpoint. */
export interface CrashingEndpoint {
  readonly port: number;
  readonly hasCrashed: () => boolean;
}

/** Starts an endpoint on loopback; it ends with the test. */
export async function startCrashingEndpoint(
  context: TestContext,
  { isDeadly, handle }: CrashingEndpointOptions,
): Promise<CrashingEndpoint> {
  const sockets = new Set<Socket>();
  let hasCrashed = false;
  const server = createServer((message, response) => {
    message.resume();
    message.on('end', () => {
      if (isDeadly(message)) {
        hasCrashed = true;
        server.close();
        sockets.forEach((socket) => socket.resetAndDestroy());
      } else {
        handle(message, response);
      }
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { port, hasCrashed: () => hasCrashed };
}
