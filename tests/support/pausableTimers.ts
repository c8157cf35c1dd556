/** Timers of a simulated process. A pause simulates a frozen process, an endless pause a killed one. */
import { TimerService, type Unsubscribe } from '../../src/core/timers.js';

/** Timers that defer their calls while the process is paused. */
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
    let isActive = true;
    const unsubscribe = this.base.subscribe(delayMs, () => {
      this.run(() => {
        if (isActive) {
          listener();
        }
      });
    });
    return () => {
      isActive = false;
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

  /** Resolves when the process is not paused. Simulated I/O awaits this before it delivers anything to the process. */
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
