/** Closes a connection after a refusal so that the caller can read it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '../core/timers.js';

/** Options of the close. */
export interface LingeringCloseOptions {
  readonly timers: TimerService;
  /** Called if the caller still sends when the limit of bytes or time is reached. */
  readonly onLimit: () => void;
  /** Bytes that are read and discarded. Default 8 MB, which a caller sends before it reads a refusal of a long body. */
  readonly bytesMax?: number;
  /** Time until the connection is closed in any case. Default 1,000. */
  readonly timeoutMs?: number;
}

const DEFAULT_BYTES_MAX = 8 * 1_048_576;
const DEFAULT_TIMEOUT_MS = 1_000;

/**
 * Stops reading a request that is refused before its end, and closes its connection after the response. A connection that
 * is closed while bytes arrive on it is reset, and the caller may lose a response that it has not read. So only the
 * sending side is closed first, and what arrives is discarded without being parsed.
 *
 * @example
 * closeAfterResponse(message, response, { timers, onLimit });
 * response.writeHead(413).end(body);
 */
export function closeAfterResponse(
  message: IncomingMessage,
  response: ServerResponse,
  options: LingeringCloseOptions,
): void {
  const { socket } = message;
  response.shouldKeepAlive = false;
  if (message.complete) {
    return;
  }
  message.on('error', () => {});
  message.pause();
  socket.pause();
  // Node's server calls this method when the response has been sent.
  socket.destroySoon = () => discardRest(socket, options);
}

function discardRest(socket: Socket, options: LingeringCloseOptions): void {
  const { timers, onLimit, bytesMax = DEFAULT_BYTES_MAX, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  let bytes = 0;
  const giveUp = () => {
    onLimit();
    socket.destroy();
  };
  const cancel = timers.subscribe(timeoutMs, giveUp);
  socket.once('close', cancel);
  // The parser must not see what follows.
  socket.removeAllListeners('data');
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > bytesMax) {
      giveUp();
    }
  });
  socket.once('end', () => socket.destroy());
  socket.end();
  socket.resume();
}
