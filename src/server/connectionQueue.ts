/**
 * Processes the requests of one connection one after another. A pipelined request must not be executed while an earlier
 * response may still close the connection, because its own response could not be sent.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** One request in the queue of its connection. */
export interface QueuedRequest {
  /** Resolves when the earlier responses have ended, with whether the connection can carry the response to this request. */
  readonly turn: Promise<boolean>;
  /** Resolves when the response has been sent, or the connection has closed. */
  readonly ended: Promise<void>;
}

/** The requests of all connections of a server. */
export class ConnectionQueue {
  /** The end of the newest request of each connection. */
  private readonly ends = new WeakMap<Socket, Promise<void>>();

  /**
   * Adds a request when its head has been read.
   *
   * @example
   * const { turn } = queue.add(message.socket, response);
   * if (!(await turn)) return; // the connection closes; the request must not be executed
   */
  add(socket: Socket, response: ServerResponse): QueuedRequest {
    const turn = this.waitForTurn(socket);
    const ended = waitForEnd(turn, response);
    this.ends.set(socket, ended);
    return { turn, ended };
  }

  private async waitForTurn(socket: Socket): Promise<boolean> {
    await this.ends.get(socket);
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
