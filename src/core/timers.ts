/**
 * The timer service. No other module reads a clock or sets a timer, so that tests can control the
 * time.
 */
import TinyQueue from 'tinyqueue';
import { createDeferred } from './utilities.js';

/** Cancels a subscription; later calls have no effect. */
export type Unsubscribe = () => void;

/** Provides the time and timers. All times are in milliseconds. */
export abstract class TimerService {
  /** Returns the time since the epoch, in milliseconds. */
  abstract now(): number;

  /** Calls the listener once after the delay. */
  abstract subscribe(delayMs: number, listener: () => void): Unsubscribe;

  /** Calls the listener at regular intervals until unsubscribed. */
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

  /** Resolves after the delay, or as soon as the signal is aborted. */
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

  /**
   * Returns whether the promise is fulfilled within the timeout. If the promise rejects, passes the error to `onRejected`
   * and returns false; without `onRejected`, rejects if the promise rejects before the timeout.
   */
  async isFulfilledWithin(
    promise: Promise<unknown>,
    timeoutMs: number,
    onRejected?: (error: unknown) => void,
  ): Promise<boolean> {
    const timeout = createDeferred<boolean>();
    const unsubscribe = this.subscribe(timeoutMs, () => timeout.resolve(false));
    const fulfilled = promise.then(
      () => true,
      (error: unknown) => {
        if (!onRejected) {
          throw error;
        }
        onRejected(error);
        return false;
      },
    );
    try {
      return await Promise.race([fulfilled, timeout.promise]);
    } finally {
      unsubscribe();
    }
  }
}

/**
 * System timers with a monotonic clock, since the time of day may jump while a process runs and deadlines
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

/** A virtual clock that advances only on request, for tests, models and experiments. */
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

  /** Advances the time. Runs the due timers in order, each with the promise callbacks that result from it. */
  async advance(durationMs: number): Promise<void> {
    const end = this.time + durationMs;
    await VirtualTimers.flushPromises();
    for (let next = this.takeNext(end); next; next = this.takeNext(end)) {
      this.time = next.at;
      next.listener?.();
      // Sequential: promise callbacks that result from a timer run before the next timer.
      await VirtualTimers.flushPromises();
    }
    this.time = end;
  }

  /** Resolves after all pending promise callbacks have run. */
  static flushPromises(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  /** Removes and returns the next timer that is due by `end`; skips cancelled timers. */
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
