/**
 * Processes the requests of one connection one after another. A pipelined request must not be executed while an earlier
 * response may still close the connection, because its own response could not be sent.
 */
import type { ServerResponse } from 'node:http';
import type { Server, Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

const NEW_CONNECTION = { openRequests: 0, idleBytesRead: 0 };

/** One request in the queue of its connection. */
export interface QueuedRequest {
  /** Resolves when the earlier responses have ended, with whether the connection can carry the response to this request. */
  readonly turn: Promise<boolean>;
  /** Resolves when the response has been sent, or the connection has closed. */
  readonly ended: Promise<void>;
}

/** What a connection has carried so far. */
interface ConnectionState {
  /** The end of the newest request. */
  end: Promise<void>;
  openRequests: number;
  /** Number of bytes read when the last request ended; more have been read once another one has begun. */
  idleBytesRead: number;
}

/** The requests of all connections of a server. */
export class ConnectionQueue {
  private readonly states = new WeakMap<Socket, ConnectionState>();

  private readonly sockets = new Set<Socket>();

  /** Follows the connections of a server that has not begun to listen. */
  watch(server: Server): void {
    // Requests over TLS carry the decrypting socket, not that of the connection.
    const event = server instanceof TlsServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Adds a request when its head has been read.
   *
   * @example
   * const { turn } = queue.add(message.socket, response);
   * if (!(await turn)) return; // the connection closes; the request must not be executed
   */
  add(socket: Socket, response: ServerResponse): QueuedRequest {
    const turn = this.waitForTurn(socket);
    const ended = waitForEnd(turn, response).then(() => this.onEnd(socket));
    const openRequests = (this.states.get(socket)?.openRequests ?? 0) + 1;
    this.states.set(socket, { end: ended, openRequests, idleBytesRead: 0 });
    return { turn, ended };
  }

  /**
   * Closes the watched connections that have neither an open request nor a part of one. Node's `closeIdleConnections` also closes
   * those of responses that have been ended but not sent yet.
   *
   * @example
   * queue.watch(server);
   * queue.closeIdle();
   */
  closeIdle(): void {
    [...this.sockets].filter((socket) => this.isIdle(socket)).forEach((socket) => socket.destroy());
  }

  /** Closes the watched connections. */
  closeAll(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private isIdle(socket: Socket): boolean {
    const { openRequests, idleBytesRead } = this.states.get(socket) ?? NEW_CONNECTION;
    return openRequests === 0 && socket.bytesRead === idleBytesRead;
  }

  private onEnd(socket: Socket): void {
    const state = this.states.get(socket)!;
    state.openRequests -= 1;
    state.idleBytesRead = socket.bytesRead;
  }

  private async waitForTurn(socket: Socket): Promise<boolean> {
    await this.states.get(socket)?.end;
    return socket.writable;
  }
}

async function waitForEnd(turn: Promise<boolean>, response: ServerResponse): Promise<void> {
  // Node emits no `close` for a response that waits behind another one while its connection closes.
  if ((await turn) && !response.closed) {
    await new Promise<void>((resolve) => {
      response.once('close', resolve);
    });
  }
}
