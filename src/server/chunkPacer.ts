/** Shares the processor between connections that send bodies in very small chunks and all others. */
import type { Socket } from 'node:net';

const SMALL_CHUNK_BYTES = 256;
// One read of a connection holds up to 11,000 chunks of one byte, which take some milliseconds.
const SMALL_CHUNKS_MAX = 1_024;

/** Counts the small chunks of one body. */
export interface ChunkCounter {
  readonly onChunk: (bytes: number) => void;
}

/**
 * Pauses a connection after many small chunks. One of the paused connections continues in each iteration of the event
 * loop, so that the work of an iteration does not grow with their number.
 *
 * @example
 * const counter = pacer.watch(message.socket);
 * message.on('data', (chunk) => counter.onChunk(chunk.length));
 */
export class ChunkPacer {
  private readonly waiting = new Set<Socket>();

  private isScheduled = false;

  /** Returns the counter of a new body on a connection. */
  watch(socket: Socket): ChunkCounter {
    let count = 0;
    return {
      onChunk: (bytes) => {
        if (bytes > SMALL_CHUNK_BYTES) {
          return;
        }
        count += 1;
        if (count >= SMALL_CHUNKS_MAX) {
          count = 0;
          this.pause(socket);
        }
      },
    };
  }

  private pause(socket: Socket): void {
    if (this.waiting.has(socket)) {
      return;
    }
    this.waiting.add(socket);
    // The message asks for more bytes right after these chunks, which would undo an earlier pause.
    setImmediate(() => {
      if (this.waiting.has(socket)) {
        socket.pause();
        this.schedule();
      }
    });
  }

  private schedule(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => this.resumeNext());
    }
  }

  private resumeNext(): void {
    this.isScheduled = false;
    const [socket] = this.waiting;
    if (socket) {
      this.waiting.delete(socket);
      socket.resume();
    }
    if (this.waiting.size > 0) {
      this.schedule();
    }
  }
}
