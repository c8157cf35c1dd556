/** Cuts a response that can't be completed. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Closes the connection of a response so that the caller can't mistake what it received for a complete response.
 *
 * @example
 * cutResponse(response); // in the middle of a stream
 */
export function cutResponse(response: ServerResponse): void {
  const { socket } = response;
  const isCloseDelimited = response.headersSent && !response.chunkedEncoding;
  // Node fails to reset a connection whose end has been sent, and leaves it open.
  if (socket && isCloseDelimited && !socket.writableEnded) {
    // The response may end with its connection, so an orderly close would complete it.
    getConnection(socket).resetAndDestroy();
  } else {
    response.destroy();
  }
}

/** Returns the TCP connection of a socket, which may be one that decrypts. Node resets only the former. */
function getConnection(socket: Socket): Socket {
  const { _parent: connection } = socket as Socket & { readonly _parent?: Socket | null };
  return connection ?? socket;
}
