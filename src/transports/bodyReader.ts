/** Iterates over the parts of a stream with fewer steps for each than the stream's own iterator. */
import type { Readable } from 'node:stream';

/** Parts that may wait before the stream is paused. */
const WAITING_PARTS_MAX = 16;

interface Settle {
  readonly resolve: (result: IteratorResult<Uint8Array, undefined>) => void;
  readonly reject: (error: Error) => void;
}

/** An iterator over a body. Errors of the stream are mapped before they are thrown. */
export class BodyReader implements AsyncIterableIterator<Uint8Array, undefined> {
  private readonly parts: Uint8Array[] = [];

  private waiting: Settle | undefined;

  private ended = false;

  private failure: Error | undefined;

  constructor(
    private readonly body: Readable,
    private readonly mapError: (error: unknown) => Error,
    private readonly onEnd: () => void,
  ) {
    body.on('data', (part: Uint8Array) => this.onPart(part));
    body.on('end', () => this.finish(undefined));
    body.on('error', (error) => this.finish(error));
    body.on('close', () => this.finish(undefined));
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    const part = this.parts.shift();
    if (part) {
      this.resumeIfPaused();
      return Promise.resolve({ done: false, value: part });
    }
    if (this.failure) {
      return Promise.reject(this.failure);
    }
    if (this.ended) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve, reject) => {
      this.waiting = { resolve, reject };
    });
  }

  /** Ends the iteration early and drops the rest. */
  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    this.finish(undefined);
    this.body.destroy();
    return Promise.resolve({ done: true, value: undefined });
  }

  private onPart(part: Uint8Array): void {
    const { waiting } = this;
    if (waiting) {
      this.waiting = undefined;
      waiting.resolve({ done: false, value: part });
      return;
    }
    this.parts.push(part);
    if (this.parts.length >= WAITING_PARTS_MAX) {
      this.body.pause();
    }
  }

  private resumeIfPaused(): void {
    if (this.parts.length === 0 && this.body.isPaused()) {
      this.body.resume();
    }
  }

  private finish(error: unknown): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.failure = error === undefined ? undefined : this.mapError(error);
    this.onEnd();
    const { waiting } = this;
    this.waiting = undefined;
    if (this.failure) {
      waiting?.reject(this.failure);
    } else {
      waiting?.resolve({ done: true, value: undefined });
    }
  }
}
