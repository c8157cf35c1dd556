/** Bounds the connections of a listener and the requests that wait on one connection. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';
import type { CallerLimitReason } from './callerBounds.js';

/** Options of the limit. */
export interface ConnectionLimitOptions {
  readonly connectionsMax: number;
  readonly count: (reason: CallerLimitReason) => void;
  /** Requests on one connection that have not ended. Default 100. */
  readonly requestsMax?: number;
  /** Requests of all connections that wait for earlier ones. Default 2,000, which take about 10 MB. */
  readonly waitingMax?: number;
}

// For connections that do not complete a TLS handshake; beyond it new ones are refused.
const HANDSHAKES_MAX = 64;
const DEFAULT_REQUESTS_MAX = 100;
const DEFAULT_WAITING_MAX = 2_000;

interface ConnectionUse {
  openRequests: number;
  /** Bytes read when the last request ended; more have been read once another one has begun. */
  idleBytesRead: number;
}

/**
 * Follows the connections of one listener. When there are too many, the connection that has been idle for the longest time
 * is closed, then one with an unfinished head, then the new one: requests in progress are not ended.
 *
 * @example
 * new ConnectionLimit({ connectionsMax: 1_207, count }).watch(server);
 */
export class ConnectionLimit {
  /** In the order in which the connections became idle. */
  private readonly uses = new Map<Socket, ConnectionUse>();

  private waitingCount = 0;

  constructor(private readonly options: ConnectionLimitOptions) {}

  /** Applies the limit to a server that has not begun to listen. */
  watch(server: Server): void {
    Object.assign(server, { maxConnections: this.options.connectionsMax + HANDSHAKES_MAX });
    const event = server instanceof TlsServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.onConnection(socket));
    server.prependListener('request', (message: IncomingMessage, response: ServerResponse) =>
      this.onRequest(message.socket, response),
    );
  }

  private onConnection(socket: Socket): void {
    this.uses.set(socket, { openRequests: 0, idleBytesRead: 0 });
    socket.once('close', () => this.remove(socket));
    if (this.uses.size > this.options.connectionsMax) {
      this.options.count('connections');
      const victim = this.findVictim(socket);
      this.remove(victim);
      victim.destroy();
    }
  }

  private findVictim(newest: Socket): Socket {
    let unfinished: Socket | undefined;
    for (const [socket, { openRequests, idleBytesRead }] of this.uses) {
      if (openRequests === 0 && socket !== newest) {
        if (socket.bytesRead === idleBytesRead) {
          return socket;
        }
        unfinished ??= socket;
      }
    }
    return unfinished ?? newest;
  }

  private onRequest(socket: Socket, response: ServerResponse): void {
    const use = this.uses.get(socket);
    if (!use) {
      return;
    }
    const { requestsMax = DEFAULT_REQUESTS_MAX, waitingMax = DEFAULT_WAITING_MAX } = this.options;
    use.openRequests += 1;
    if (use.openRequests > 1) {
      this.waitingCount += 1;
      if (use.openRequests > requestsMax || this.waitingCount > waitingMax) {
        this.options.count('pipelined');
        this.remove(socket);
        socket.destroy();
        return;
      }
    }
    response.once('close', () => this.onRequestEnd(socket, use));
  }

  private onRequestEnd(socket: Socket, use: ConnectionUse): void {
    if (!this.uses.has(socket)) {
      return;
    }
    if (use.openRequests > 1) {
      this.waitingCount -= 1;
    }
    use.openRequests -= 1;
    use.idleBytesRead = socket.bytesRead;
    this.uses.delete(socket);
    this.uses.set(socket, use);
  }

  private remove(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use) {
      this.waitingCount -= Math.max(0, use.openRequests - 1);
      this.uses.delete(socket);
    }
  }
}
