/**
 * Processes the requests of one connection one after another. A pipelined request must not be executed while an earlier
 * response may still close the connection, because its own response could not be sent.
 */
import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Server, Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

const NEW_CONNECTION = { openRequests: 0, idleBytesRead: 0, isClosing: false };
const BAD_REQUEST = 400;

/** The status codes, by error code, with which Node's server refuses a request that it can't read. */
const REFUSAL_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

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
  /** The response to the newest request. */
  newest: ServerResponse;
  openRequests: number;
  /** Number of bytes read when the last request ended; more have been read once another one has begun. */
  idleBytesRead: number;
  /** Whether the connection closes when its open requests have ended, because the bytes behind them can't be read. */
  isClosing: boolean;
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
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
      this.onUnreadableRequest(error, socket),
    );
  }

  /**
   * Adds a request when its head has been read.
   *
   * @example
   * const { turn } = queue.add(message.socket, response);
   * if (!(await turn)) return; // the connection closes; the request must not be executed
   */
  add(socket: Socket, response: ServerResponse): QueuedRequest {
    const { openRequests, isClosing } = this.states.get(socket) ?? NEW_CONNECTION;
    const turn = this.waitForTurn(socket, response);
    const ended = waitForEnd(turn, response).then(() => this.onEnd(socket));
    this.states.set(socket, {
      end: ended,
      newest: response,
      openRequests: openRequests + 1,
      idleBytesRead: 0,
      isClosing,
    });
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
    if (state.isClosing && state.openRequests === 0) {
      socket.destroySoon();
    }
  }

  /** Node emits the event again at each check of the times of heads, and for further bytes after a parse error. */
  private onUnreadableRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    const state = this.states.get(socket);
    if (socket.destroyed || !this.sockets.has(socket)) {
      socket.destroy(error); // also after a failed TLS handshake
    } else if (!state || state.openRequests === 0 || isBodyUnreadable(state)) {
      refuseUnreadable(error, socket);
    } else if (socket.readableEnded) {
      socket.destroySoon(); // as Node does without an error
    } else if (!state.isClosing) {
      // A refusal would be taken for the response to the open request, which may run.
      state.isClosing = true;
      state.newest.shouldKeepAlive = false;
    }
  }

  private async waitForTurn(socket: Socket, response: ServerResponse): Promise<boolean> {
    const earlier = this.states.get(socket);
    if (!earlier) {
      return socket.writable;
    }
    const isLate = earlier.isClosing;
    await earlier.end;
    const { isClosing } = this.states.get(socket)!;
    return socket.writable && !isLate && (!isClosing || response.req.complete);
  }
}

/** Returns whether the only open request is one whose body can't be read, which has neither run nor been answered. */
function isBodyUnreadable({ openRequests, newest, isClosing }: ConnectionState): boolean {
  return openRequests === 1 && !isClosing && !newest.req.complete && !newest.headersSent;
}

/** Answers as Node's server does without a listener. */
function refuseUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
  if (socket.writable) {
    const status = REFUSAL_STATUSES[error.code ?? ''] ?? BAD_REQUEST;
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}

async function waitForEnd(turn: Promise<boolean>, response: ServerResponse): Promise<void> {
  // Node emits no `close` for a response that waits behind another one while its connection closes.
  if ((await turn) && !response.closed) {
    await new Promise<void>((resolve) => {
      response.once('close', resolve);
    });
  }
}
