/** Backoff between appends that conflict with those of other processes. */
import type { TimerService } from '../core/timers.js';

/** Options of the backoff. */
export interface AppendBackoffOptions {
  readonly timers: TimerService;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Returns how many processes may append now, or `undefined` while many may be starting together. */
  readonly getContenders: () => number | undefined;
}

const DELAY_MIN_MS = 6; // about the duration of one append
const DELAY_MAX_MS = 5_000; // enough for the reads and appends of 200 processes

/**
 * Exponential backoff with full jitter. Conflicts count across syncs until a record is stored; the limit is the time of
 * one append for each process that may append.
 */
export class AppendBackoff {
  private conflicts = 0;

  constructor(private readonly options: AppendBackoffOptions) {}

  /** Waits after a conflict. */
  wait(): Promise<void> {
    const { timers, random, getContenders } = this.options;
    const contenders = getContenders();
    const delayMaxMs = contenders === undefined ? DELAY_MAX_MS : contenders * DELAY_MIN_MS;
    const delayMs = Math.min(DELAY_MIN_MS * 2 ** this.conflicts, delayMaxMs);
    this.conflicts += 1;
    return timers.sleep(delayMs * random());
  }

  /** Resets the delay after a record was stored. */
  reset(): void {
    this.conflicts = 0;
  }
}
