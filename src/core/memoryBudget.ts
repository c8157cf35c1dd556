/** Bounds the memory of data from outside that is held until it is complete. */
import type { TimerService } from './timers.js';

/** Options of a budget. */
export interface MemoryBudgetOptions {
  readonly limitBytes: number;
  /**
   * With timers, the share that has held the most bytes for the longest time is given up. Without, the largest one
   * is.
   */
  readonly timers?: TimerService;
  /** Shares up to this size are given up only when no larger one is left. Default 0. */
  readonly smallBytes?: number;
  /** The part of the limit that only small shares may use. Default 0. */
  readonly smallReserveBytes?: number;
}

/** The part of a budget that one holder uses. */
export interface MemoryShare {
  readonly bytes: number;
  /** Adds bytes. May give up this share or others. */
  readonly add: (bytes: number) => void;
  /** Keeps the share until it is closed: it is no longer given up for others. */
  readonly keep: () => void;
  /** Frees the share. */
  readonly close: () => void;
}

interface OpenShare {
  bytes: number;
  isKept: boolean;
  readonly openedAt: number;
  readonly giveUp: (usedBytes: number) => void;
}

/**
 * A limit on the sum of all shares. When it is exceeded, shares that are not kept are given up, so that a few endless
 * bodies do not displace many small ones.
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

  /** Opens an empty share. `giveUp` is called with the bytes in use if the share is chosen when the limit is exceeded. */
  open(giveUp: (usedBytes: number) => void): MemoryShare {
    const openedAt = this.options.timers?.now() ?? 0;
    const share: OpenShare = { bytes: 0, isKept: false, openedAt, giveUp };
    this.shares.add(share);
    return {
      get bytes() {
        return share.bytes;
      },
      add: (bytes) => this.add(share, bytes),
      keep: () => {
        share.isKept = true;
      },
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
    const { limitBytes, smallReserveBytes = 0 } = this.options;
    const limit = this.isSmall(share) ? limitBytes : limitBytes - smallReserveBytes;
    while (this.usedBytes > limit) {
      const victim = this.findVictim();
      if (!victim) {
        return;
      }
      const { usedBytes } = this;
      this.close(victim);
      victim.giveUp(usedBytes);
    }
  }

  private findVictim(): OpenShare | undefined {
    const { timers } = this.options;
    const now = timers?.now() ?? 0;
    const getWeight = ({ bytes, openedAt }: OpenShare) =>
      timers ? bytes * (now - openedAt + 1) : bytes;
    const candidates = [...this.shares].filter(({ isKept }) => !isKept);
    const large = candidates.filter((share) => !this.isSmall(share));
    const [first, ...others] = large.length > 0 ? large : candidates;
    return first && others.reduce((a, b) => (getWeight(b) > getWeight(a) ? b : a), first);
  }

  private isSmall({ bytes }: OpenShare): boolean {
    return bytes <= (this.options.smallBytes ?? 0);
  }

  private close(share: OpenShare): void {
    if (this.shares.delete(share)) {
      this.usedBytes -= share.bytes;
    }
  }
}
