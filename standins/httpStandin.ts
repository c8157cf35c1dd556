/** The base of the stand-ins: a small HTTP server on loopback. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** A stand-in for a service that the system calls over HTTP. */
export abstract class HttpStandin {
  protected readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor() {
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
    });
  }

  /** Responds to a request; a rejection closes its connection. */
  protected abstract handle(message: IncomingMessage, response: ServerResponse): Promise<void>;

  /** Starts listening and returns the port. */
  listen(port = 0, host = '127.0.0.1'): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Closes every connection without a response, as a crash does, and stops listening. */
  async crash(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.dropConnections();
    await closed;
  }

  /** Closes every connection without a response and keeps listening. */
  dropConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }
}

export async function readMessageBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
}

/** Resolves after a delay of real time. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
