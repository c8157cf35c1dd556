/** Connects for undici, and lets it see a reset that it would take for the orderly end of a response without a length. */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/**
 * Creates a connector whose connections report a reset as a failure of the response. The CRLF that is written at the
 * end of a connection is one that servers ignore before a request.
 *
 * @example
 * new Agent({ connect: createResetConnector({ timeout: 1_000 }) });
 */
export function createResetConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) {
        reportResets(socket);
      }
      callback(...result);
    });
}

type Listener = (...values: never[]) => void;

function reportResets(socket: Socket): void {
  // undici takes this code for an orderly end.
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') {
      Object.assign(error, { code: 'ECONNABORTED' });
    }
  });
  // A reset that arrives with the last bytes is reported as the end of the stream, and only a write reveals it.
  const isOrderlyEnd = new Promise<boolean>((resolve) => {
    socket.prependOnceListener('end', () => socket.write('\r\n', (error) => resolve(!error)));
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
