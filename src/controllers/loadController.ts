/** Measures the load of this process from the lateness of a timer and logs when overload begins and ends. */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { LoadState } from '../routing/loadState.js';

/** Options of the controller. */
export interface LoadControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const SAMPLE_INTERVAL_MS = 100; // not shorter, since each wake-up costs processor time on an idle vm

/** The load of this process. */
export class LoadController {
  private readonly state = new LoadState();

  private wasOverloaded = false;

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: LoadControllerOptions) {}

  /** Starts sampling. */
  start(): void {
    const { timers } = this.options;
    let dueAt = timers.now() + SAMPLE_INTERVAL_MS;
    this.unsubscribe = timers.subscribeEvery(SAMPLE_INTERVAL_MS, () => {
      const now = timers.now();
      this.state.record(Math.max(0, now - dueAt), now);
      dueAt = now + SAMPLE_INTERVAL_MS;
      this.report();
    });
  }

  /** Stops sampling. */
  stop(): void {
    this.unsubscribe();
  }

  /** Returns whether the load balancer should send new connections to other processes. */
  isOverloaded(): boolean {
    return this.state.isOverloaded(this.options.timers.now());
  }

  /** Returns whether a call that arrives now would be served too late. */
  isSaturated(): boolean {
    return this.state.isSaturated();
  }

  private report(): void {
    const { logger, metrics } = this.options;
    const lateMs = Math.round(this.state.getLateMs());
    const isOverloaded = this.isOverloaded();
    metrics.timerLatenessMs.set(lateMs);
    if (isOverloaded !== this.wasOverloaded) {
      this.wasOverloaded = isOverloaded;
      logger.warn(isOverloaded ? 'overloaded, not ready' : 'overload ended', { lateMs });
    }
  }
}
