/** Collects bytes that arrive in chunks. */

/** Options of a collector. */
export interface ByteCollectorOptions {
  /** The first bytes. They are not copied until others follow. */
  readonly bytes?: Buffer;
  /**
   * Keeps the bytes in segments until they are read. A growing buffer leaves as many bytes for the garbage collection as it
   * holds; segments leave none, but reading them often while they grow copies them each time. Default false.
   */
  readonly isSegmented?: boolean;
}

const SEGMENT_BYTES = 65_536;
/** Chunks from this size are kept, smaller ones are copied: each chunk costs some hundred bytes besides its own. */
const KEPT_CHUNK_BYTES = 4_096;

/**
 * A growing buffer. Its memory depends on the number of bytes only: a list of chunks costs some hundred bytes for each
 * chunk, however small.
 *
 * @example
 * const collector = new ByteCollector();
 * response.on('data', (chunk) => collector.append(chunk));
 * response.on('end', () => resolve(collector.getBytes()));
 */
export class ByteCollector {
  /** Full segments, before those in `buffer`. */
  private segments: Buffer[] = [];

  private segmentBytes = 0;

  /** Bytes of memory that the segments keep in use. */
  private segmentCapacity = 0;

  private buffer: Buffer;

  /** Bytes in `buffer`. */
  private size: number;

  private readonly isSegmented: boolean;

  constructor({ bytes = Buffer.alloc(0), isSegmented = false }: ByteCollectorOptions = {}) {
    this.buffer = bytes;
    this.size = bytes.length;
    this.isSegmented = isSegmented;
  }

  /** The number of bytes. */
  get length(): number {
    return this.segmentBytes + this.size;
  }

  /** The bytes of memory in use, which exceed the length while the buffer has room. */
  get capacity(): number {
    return this.segmentCapacity + this.buffer.length;
  }

  /** Adds bytes at the end. */
  append(bytes: Uint8Array): void {
    if (this.isSegmented && this.size + bytes.length > SEGMENT_BYTES / 2) {
      this.closeSegment();
    }
    const { size } = this;
    const isKept = !this.isSegmented || isWholeChunk(bytes);
    if (size === 0 && isKept) {
      this.buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    } else {
      this.reserve(size + bytes.length);
      this.buffer.set(bytes, size);
    }
    this.size = size + bytes.length;
  }

  /** Returns the bytes without copying them, unless there are segments; valid until the next `append`. */
  getBytes(): Buffer {
    if (this.segments.length > 0) {
      this.closeSegment();
      this.buffer = Buffer.concat(this.segments);
      this.size = this.buffer.length;
      this.segments = [];
      this.segmentBytes = 0;
      this.segmentCapacity = 0;
    }
    return this.buffer.subarray(0, this.size);
  }

  private closeSegment(): void {
    if (this.size > 0) {
      this.segments.push(this.buffer.subarray(0, this.size));
      this.segmentBytes += this.size;
      this.segmentCapacity += this.buffer.length;
      this.buffer = Buffer.alloc(0);
      this.size = 0;
    }
  }

  private reserve(capacity: number): void {
    if (capacity > this.buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(capacity, 2 * this.buffer.length));
      this.buffer.copy(grown, 0, 0, this.size);
      this.buffer = grown;
    }
  }
}

/** Returns whether a chunk is large and keeps no more memory in use than its own. */
function isWholeChunk(bytes: Uint8Array): boolean {
  return bytes.length >= KEPT_CHUNK_BYTES && bytes.buffer.byteLength <= 2 * bytes.length;
}
