/** The caller's side of one call, over Node's HTTP server. */
import type { ServerResponse } from 'node:http';

/** Writes one answer, and tells when the caller has left. */
export class CallerConnection {
  private hasDisconnected = false;

  private readonly disconnectListeners = new Set<() => void>();

  constructor(
    private readonly response: ServerResponse,
    /** Returns whether the connection is to be closed after the answer. */
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

  /** Returns whether the caller closed the connection before the answer was whole. */
  isDisconnected(): boolean {
    // Node closes a connection some rounds of the event loop after it has read its end.
    return this.hasDisconnected || this.response.socket?.readableEnded === true;
  }

  /** Returns whether the head of an answer went out. */
  isHeadSent(): boolean {
    return this.response.headersSent;
  }

  /** Calls the listener when the caller leaves early; returns what ends that. */
  onDisconnect(listener: () => void): () => void {
    this.disconnectListeners.add(listener);
    return () => this.disconnectListeners.delete(listener);
  }

  /** Sends a whole answer. Headers are name and value in turn. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    if (this.hasDisconnected) {
      return;
    }
    const hasLength = headers.some((name, index) => index % 2 === 0 && isContentLength(name));
    const length = hasLength ? [] : ['content-length', String(body.length)];
    this.writeHead(status, [...headers, ...length]);
    this.response.end(body);
  }

  /** Sends the head of an answer that comes in parts. */
  sendHead(status: number, headers: readonly string[]): void {
    if (!this.hasDisconnected) {
      this.writeHead(
        status,
        headers.filter((_, index) => !isContentLength(headers[index - (index % 2)]!)),
      );
    }
  }

  /** Sends a part; returns whether more may be sent before `onDrain` calls back. */
  write(part: Buffer): boolean {
    return this.hasDisconnected || this.response.write(part);
  }

  /** Calls back once when more may be sent. */
  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  /** Ends an answer that came in parts. */
  end(): void {
    this.response.end();
  }

  /** Breaks the connection, so that the caller can't take a part for the whole. */
  destroy(): void {
    this.response.destroy();
  }

  private writeHead(status: number, headers: readonly string[]): void {
    const closing = this.isClosing() ? ['connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...closing]);
  }
}

function isContentLength(name: string): boolean {
  return name.toLowerCase() === 'content-length';
}
