/** The timers of one simulated process, which can be paused past any timeout, or killed. */
import { TimerService, type Unsubscribe } from '../../src/core/timers.js';

/** Timers that hold back their calls while the process is paused. */
export class PausableTimers extends TimerService {
  private paused = false;

  private deferredCalls: (() => void)[] = [];

  constructor(private readonly base: TimerService) {
    super();
  }

  override now(): number {
    return this.base.now();
  }

  override subscribe(delayMs: number, listener: () => void): Unsubscribe {
    let active = true;
    const unsubscribe = this.base.subscribe(delayMs, () => {
      this.run(() => {
        if (active) {
          listener();
        }
      });
    });
    return () => {
      active = false;
      unsubscribe();
    };
  }

  isPaused(): boolean {
    return this.paused;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const { deferredCalls } = this;
    this.deferredCalls = [];
    deferredCalls.forEach((call) => call());
  }

  /** Resolves once the process runs: what comes from outside waits here. */
  whenRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }

  private run(call: () => void): void {
    if (this.paused) {
      this.deferredCalls.push(call);
    } else {
      call();
    }
  }
}
