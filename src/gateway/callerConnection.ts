/** The caller's side of one call, based on Node's HTTP server. */
import type { ServerResponse } from 'node:http';
import { cutResponse } from '../server/cutResponse.js';

/** Writes one response and reports a caller that disconnects early. */
export class CallerConnection {
  private hasDisconnected = false;

  private readonly disconnectListeners = new Set<() => void>();

  constructor(
    private readonly response: ServerResponse,
    /** Returns whether the connection is to be closed after the response. */
    private readonly isClosing: () => boolean,
  ) {
    response.on('error', () => {});
    response.on('close', () => {
      if (!response.writableFinished) {
        this.hasDisconnected = true;
        this.disconnectListeners.forEach((listener) => listener());
      }
    });
  }

  /** Returns whether the caller closed the connection before the response was complete. */
  isDisconnected(): boolean {
    // Node emits `close` some event loop iterations after it has read the end of the stream.
    return this.hasDisconnected || this.response.socket?.readableEnded === true;
  }

  /** Returns whether the head of a response has been sent. */
  isHeadSent(): boolean {
    return this.response.headersSent;
  }

  /** Calls the listener if the caller disconnects early; returns a function that removes the listener. */
  onDisconnect(listener: () => void): () => void {
    this.disconnectListeners.add(listener);
    return () => this.disconnectListeners.delete(listener);
  }

  /** Calls the listener once the response has been read as far as the socket's buffers, or the connection has closed. */
  onClose(listener: () => void): void {
    if (this.response.closed) {
      listener();
    } else {
      this.response.once('close', listener);
    }
  }

  /** Sends a complete response. Headers alternate between name and value. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    if (this.hasDisconnected) {
      return;
    }
    const hasLength = headers.some((name, index) => index % 2 === 0 && isContentLength(name));
    const length = hasLength ? [] : ['content-length', String(body.length)];
    this.writeHead(status, [...headers, ...length]);
    this.response.end(body);
  }

  /** Sends the head of a streamed response. */
  sendHead(status: number, headers: readonly string[]): void {
    if (!this.hasDisconnected) {
      this.writeHead(
        status,
        headers.filter((_, index) => !isContentLength(headers[index - (index % 2)]!)),
      );
    }
  }

  /** Sends a chunk; returns false if the caller of this method must wait for `onDrain` before the next one. */
  write(chunk: Buffer): boolean {
    return this.hasDisconnected || this.response.write(chunk);
  }

  /** Calls the listener once, when the write buffer has drained. */
  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  /** Ends a streamed response. */
  end(): void {
    this.response.end();
  }

  /** Destroys the connection, so that the caller can't mistake a truncated response for a complete one. */
  destroy(): void {
    cutResponse(this.response);
  }

  private writeHead(status: number, headers: readonly string[]): void {
    const closing = this.isClosing() ? ['connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...closing]);
  }
}

function isContentLength(name: string): boolean {
  return name.toLowerCase() === 'content-length';
}
