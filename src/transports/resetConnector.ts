/** Connects for undici, and lets it see a reset that it would take for the orderly end of a response without a length. */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { SystemTimers, type TimerService } from '../core/timers.js';

/** Options of a connector. */
export interface ResetConnectorOptions {
  /** Timeout for establishing a connection, in milliseconds. */
  readonly timeout: number;
  /**
   * Time for which the end of a connection waits for a reset that follows it, in milliseconds. Default 0. Connections that
   * are kept should not wait: until the end is known, another call may be sent.
   */
  readonly detectionMs?: number;
  readonly timers?: TimerService;
}

/**
 * Creates a connector whose connections report a reset as a failure of the response. The CRLF that is written at the
 * end of a connection is one that servers ignore before a request.
 *
 * @example
 * new Agent({ connect: createResetConnector({ timeout: 1_000 }) });
 */
export function createResetConnector({
  timeout,
  detectionMs = 0,
  timers = new SystemTimers(),
}: ResetConnectorOptions): buildConnector.connector {
  const connect = buildConnector({ timeout });
  const wait = () => (detectionMs > 0 ? timers.sleep(detectionMs) : undefined);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) {
        reportResets(socket, wait);
      }
      callback(...result);
    });
}

type Listener = (...values: never[]) => void;

function reportResets(socket: Socket, wait: () => Promise<void> | undefined): void {
  // undici takes this code for an orderly end.
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') {
      Object.assign(error, { code: 'ECONNABORTED' });
    }
  });
  // A reset that arrives with the last bytes is reported as the end of the stream, and only a write reveals it.
  // The writing side must stay open until then.
  socket.allowHalfOpen = true;
  const isOrderlyEnd = new Promise<boolean>((resolve) => {
    const probe = () => socket.write('\r\n', (error) => resolve(!error));
    socket.prependOnceListener('end', () => {
      if (socket.writableLength > 0) {
        socket.destroy(createEarlyEnd());
        resolve(false);
        return;
      }
      const waited = wait();
      if (waited) {
        waited.then(probe);
      } else {
        probe();
      }
    });
  });
  const addListener = socket.on.bind(socket) as (event: string, listener: Listener) => Socket;
  socket.on = (event: string, listener: Listener) =>
    addListener(event, event === 'end' ? onOrderlyEnd(listener) : listener);

  function onOrderlyEnd(listener: Listener): () => void {
    return async () => {
      // After a failed write, the events `error` and `close` end the response.
      if ((await isOrderlyEnd) && !socket.destroyed) {
        listener.call(socket);
      }
    };
  }
}

/** The code is one that undici does not take for an orderly end. */
function createEarlyEnd(): Error {
  const error = new Error('connection ended while the request was being written');
  return Object.assign(error, { code: 'ECONNABORTED' });
}
