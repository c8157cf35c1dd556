/** Collects bytes that arrive in chunks. */

/**
 * One growing buffer. Its memory depends on the number of bytes only: a list of chunks costs some hundred bytes for each
 * chunk, however small.
 *
 * @example
 * const collector = new ByteCollector();
 * response.on('data', (chunk) => collector.append(chunk));
 * response.on('end', () => resolve(collector.getBytes()));
 */
export class ByteCollector {
  private buffer: Buffer;

  private size: number;

  /** The first bytes are not copied until others follow. */
  constructor(bytes: Buffer = Buffer.alloc(0)) {
    this.buffer = bytes;
    this.size = bytes.length;
  }

  /** The number of bytes. */
  get length(): number {
    return this.size;
  }

  /** Adds bytes at the end. */
  append(bytes: Uint8Array): void {
    const { size } = this;
    const newSize = size + bytes.length;
    if (size === 0) {
      this.buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    } else {
      this.reserve(newSize);
      this.buffer.set(bytes, size);
    }
    this.size = newSize;
  }

  /** Returns the bytes without copying them; valid until the next `append`. */
  getBytes(): Buffer {
    return this.buffer.subarray(0, this.size);
  }

  private reserve(capacity: number): void {
    if (capacity > this.buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(capacity, 2 * this.buffer.length));
      this.buffer.copy(grown, 0, 0, this.size);
      this.buffer = grown;
    }
  }
}
