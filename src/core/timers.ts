/**
 * The timer service. Nothing else in the library reads a clock or sets a timer, so that tests drive
 * time.
 */
import TinyQueue from 'tinyqueue';
import { createDeferred } from './utilities.js';

/** Ends a subscription; calling it twice is harmless. */
export type Unsubscribe = () => void;

/** Gives the time and calls back after delays. All times are in milliseconds. */
export abstract class TimerService {
  /** Returns the time since the epoch, in milliseconds. */
  abstract now(): number;

  /** Calls the listener once after the delay. */
  abstract subscribe(delayMs: number, listener: () => void): Unsubscribe;

  /** Calls the listener again and again, until unsubscribed. */
  subscribeEvery(intervalMs: number, listener: () => void): Unsubscribe {
    let unsubscribe: Unsubscribe = () => {};
    const arm = () => {
      unsubscribe = this.subscribe(intervalMs, () => {
        arm();
        listener();
      });
    };
    arm();
    return () => unsubscribe();
  }

  /** Resolves after the delay, or at once when the signal is aborted. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    const { promise, resolve } = createDeferred<void>();
    const unsubscribe = this.subscribe(delayMs, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    function onAbort(): void {
      unsubscribe();
      resolve();
    }
    signal?.addEventListener('abort', onAbort, { once: true });
    return promise;
  }

  /** Resolves with whether the promise was fulfilled within the time. */
  async isFulfilledWithin(promise: Promise<unknown>, timeoutMs: number): Promise<boolean> {
    const late = createDeferred<boolean>();
    const unsubscribe = this.subscribe(timeoutMs, () => late.resolve(false));
    const result = await Promise.race([promise.then(() => true), late.promise]);
    unsubscribe();
    return result;
  }
}

/**
 * The machine's timers on its steady clock: the time of day may jump while a process runs, and deadlines
 * must not.
 */
export class SystemTimers extends TimerService {
  override now(): number {
    return performance.timeOrigin + performance.now();
  }

  override subscribe(delayMs: number, listener: () => void): Unsubscribe {
    const handle = setTimeout(listener, delayMs);
    return () => clearTimeout(handle);
  }
}

interface VirtualTimer {
  readonly at: number;
  readonly order: number;
  listener: (() => void) | undefined;
}

/** A clock that moves only when told to. Used by tests, models and experiments. */
export class VirtualTimers extends TimerService {
  private time: number;

  private order = 0;

  private readonly timers = new TinyQueue<VirtualTimer>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );

  constructor(startMs = 1_000_000) {
    super();
    this.time = startMs;
  }

  override now(): number {
    return this.time;
  }

  override subscribe(delayMs: number, listener: () => void): Unsubscribe {
    this.order += 1;
    const at = this.time + Math.max(0, delayMs);
    const timer: VirtualTimer = { at, order: this.order, listener };
    this.timers.push(timer);
    return () => {
      timer.listener = undefined;
    };
  }

  /** Moves time forward, running each due timer and everything that follows from it in order. */
  async advance(durationMs: number): Promise<void> {
    const end = this.time + durationMs;
    await VirtualTimers.flushPromises();
    for (let next = this.takeNext(end); next; next = this.takeNext(end)) {
      this.time = next.at;
      next.listener?.();
      // Timers run strictly one after another.
      await VirtualTimers.flushPromises();
    }
    this.time = end;
  }

  /** Lets every promise callback that is ready run. */
  static flushPromises(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  /** Takes out the next timer that is due by a time; ended ones are passed over. */
  private takeNext(end: number): VirtualTimer | undefined {
    for (let next = this.timers.peek(); next && next.at <= end; next = this.timers.peek()) {
      this.timers.pop();
      if (next.listener) {
        return next;
      }
    }
    return undefined;
  }
}
