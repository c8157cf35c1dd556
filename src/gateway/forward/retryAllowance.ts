/**
 * Limits repeated sends of one service in a sliding window. It answers endpoints that all fail at once: each router
 * takes a part of the share that the whole fleet may use, so that no talk between routers is needed.
 */

/** Options of an allowance. */
export interface RetryAllowanceOptions {
  readonly windowMs: number;
  /** Repeats a call pays for. */
  readonly share: number;
  /** Repeats in a window beyond the share, over all routers. */
  readonly reserve: number;
  /** Returns how many routers there are. */
  readonly getRouters: () => number;
}

const SLICES = 10;
/** Part of the limit that is used, since routers count in windows that begin at other moments. */
const USED_PART = 0.7;

/** Calls and repeats of one service. */
export class RetryAllowance {
  private readonly calls = new Array<number>(SLICES).fill(0);

  private readonly repeats = new Array<number>(SLICES).fill(0);

  private slice = 0;

  constructor(private readonly options: RetryAllowanceOptions) {}

  /** Takes a first send. */
  recordCall(nowMs: number): void {
    this.move(nowMs);
    this.calls[this.slice % SLICES]! += 1;
  }

  /** Takes a repeat out of the allowance, or returns false where it is used up. */
  tryTake(nowMs: number): boolean {
    this.move(nowMs);
    const { share, reserve, getRouters } = this.options;
    const limit = sum(this.calls) * share + reserve / Math.max(1, getRouters());
    if (sum(this.repeats) + 1 > limit * USED_PART) {
      return false;
    }
    this.repeats[this.slice % SLICES]! += 1;
    return true;
  }

  private move(nowMs: number): void {
    const now = Math.floor((nowMs * SLICES) / this.options.windowMs);
    const cleared = Math.min(SLICES, now - this.slice);
    for (let step = 1; step <= cleared; step += 1) {
      this.calls[(this.slice + step) % SLICES] = 0;
      this.repeats[(this.slice + step) % SLICES] = 0;
    }
    if (cleared >= SLICES) {
      this.calls.fill(0);
      this.repeats.fill(0);
    }
    this.slice = Math.max(now, this.slice);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
