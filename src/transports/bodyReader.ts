/** Iterates over the chunks of a stream with less overhead per chunk than the stream's own iterator. */
import type { Readable } from 'node:stream';

/** Number of buffered chunks at which the stream is paused. */
const BUFFERED_CHUNKS_MAX = 16;

interface PendingRead {
  readonly resolve: (result: IteratorResult<Uint8Array, undefined>) => void;
  readonly reject: (error: Error) => void;
}

/** An iterator over a response body. Stream errors are mapped before they are thrown. */
export class BodyReader implements AsyncIterableIterator<Uint8Array, undefined> {
  private readonly chunks: Uint8Array[] = [];

  private pendingRead: PendingRead | undefined;

  private isEnded = false;

  private failure: Error | undefined;

  constructor(
    private readonly body: Readable,
    private readonly mapError: (error: unknown) => Error,
    private readonly onEnd: () => void,
  ) {
    body.on('data', (chunk: Uint8Array) => this.onChunk(chunk));
    body.on('end', () => this.finish(undefined));
    body.on('error', (error) => this.finish(error));
    body.on('close', () => this.finish(undefined));
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    const chunk = this.chunks.shift();
    if (chunk) {
      this.resumeIfPaused();
      return Promise.resolve({ done: false, value: chunk });
    }
    if (this.failure) {
      return Promise.reject(this.failure);
    }
    if (this.isEnded) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve, reject) => {
      this.pendingRead = { resolve, reject };
    });
  }

  /** Ends the iteration early and discards the rest of the body. */
  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    this.finish(undefined);
    this.body.destroy();
    return Promise.resolve({ done: true, value: undefined });
  }

  private onChunk(chunk: Uint8Array): void {
    const { pendingRead } = this;
    if (pendingRead) {
      this.pendingRead = undefined;
      pendingRead.resolve({ done: false, value: chunk });
      return;
    }
    this.chunks.push(chunk);
    if (this.chunks.length >= BUFFERED_CHUNKS_MAX) {
      this.body.pause();
    }
  }

  private resumeIfPaused(): void {
    if (this.chunks.length === 0 && this.body.isPaused()) {
      this.body.resume();
    }
  }

  private finish(error: unknown): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.failure = error === undefined ? undefined : this.mapError(error);
    this.onEnd();
    const { pendingRead } = this;
    this.pendingRead = undefined;
    if (this.failure) {
      pendingRead?.reject(this.failure);
    } else {
      pendingRead?.resolve({ done: true, value: undefined });
    }
  }
}
