/** Bounds the memory of data from outside that is held until it is complete. */

/** Options of a budget. */
export interface MemoryBudgetOptions {
  readonly limitBytes: number;
}

/** The part of a budget that one holder uses. */
export interface MemoryShare {
  readonly bytes: number;
  /** Adds bytes. May give up this share or a larger one. */
  readonly add: (bytes: number) => void;
  /** Frees the share. */
  readonly close: () => void;
}

interface OpenShare {
  bytes: number;
  readonly giveUp: (usedBytes: number) => void;
}

/**
 * A limit on the sum of all shares. When it is exceeded, the largest share is given up, so that a few endless bodies do
 * not displace many small ones.
 *
 * @example
 * const share = budget.open((usedBytes) => response.destroy());
 * response.on('data', (chunk) => share.add(chunk.length));
 * response.on('close', () => share.close());
 */
export class MemoryBudget {
  private readonly shares = new Set<OpenShare>();

  private usedBytes = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Opens an empty share. `giveUp` is called with the bytes in use if the share is the largest when the limit is exceeded. */
  open(giveUp: (usedBytes: number) => void): MemoryShare {
    const share: OpenShare = { bytes: 0, giveUp };
    this.shares.add(share);
    return {
      get bytes() {
        return share.bytes;
      },
      add: (bytes) => this.add(share, bytes),
      close: () => this.close(share),
    };
  }

  /** Returns the bytes of all open shares. */
  getUsedBytes(): number {
    return this.usedBytes;
  }

  private add(share: OpenShare, bytes: number): void {
    if (!this.shares.has(share)) {
      return;
    }
    share.bytes += bytes;
    this.usedBytes += bytes;
    while (this.usedBytes > this.options.limitBytes) {
      const largest = [...this.shares].reduce((a, b) => (b.bytes > a.bytes ? b : a));
      const { usedBytes } = this;
      this.close(largest);
      largest.giveUp(usedBytes);
    }
  }

  private close(share: OpenShare): void {
    if (this.shares.delete(share)) {
      this.usedBytes -= share.bytes;
    }
  }
}
