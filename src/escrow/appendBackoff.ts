/** Delays between appends of one process that collide with those of others. */
import type { TimerService } from '../core/timers.js';

/** Options of the delays. */
export interface AppendBackoffOptions {
  readonly timers: TimerService;
  /** In [0, 1). */
  readonly random: () => number;
  /** Returns how many processes may append now, or `undefined` where many may start together. */
  readonly getContenders: () => number | undefined;
}

const DELAY_MIN_MS = 6; // about one append of another process
const DELAY_MAX_MS = 5_000; // room for the reads and appends of two hundred processes

/**
 * Grows the delay with the collisions since the last record was stored, over all exchanges, up to one append for
 * each process that may append.
 */
export class AppendBackoff {
  private conflicts = 0;

  constructor(private readonly options: AppendBackoffOptions) {}

  /** Waits after a collision. */
  wait(): Promise<void> {
    const { timers, random, getContenders } = this.options;
    const contenders = getContenders();
    const delayMaxMs = contenders === undefined ? DELAY_MAX_MS : contenders * DELAY_MIN_MS;
    const delayMs = Math.min(DELAY_MIN_MS * 2 ** this.conflicts, delayMaxMs);
    this.conflicts += 1;
    return timers.sleep(delayMs * random());
  }

  /** Notes that a record was stored. */
  reset(): void {
    this.conflicts = 0;
  }
}
