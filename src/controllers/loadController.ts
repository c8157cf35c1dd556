/** Measures the load of this process, decides which calls it refuses, and logs when overload begins and ends. */
import { createRefusal, type Refusal } from '../core/codes.js';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { ProcessorMeter } from '../core/processorMeter.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { CallShedding } from '../routing/callShedding.js';
import { LoadState } from '../routing/loadState.js';
import type { RotationState } from '../routing/zoneRotation.js';
import type { RotationController } from './rotationController.js';

/** Options of the controller. */
export interface LoadControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly meter: ProcessorMeter;
  /** Processor cores that this process may use; a fraction if they are shared. */
  readonly cores: number;
  readonly rotation: RotationController;
  /** In [0, 1). */
  readonly random: () => number;
}

const SAMPLE_INTERVAL_MS = 100; // not shorter, since each wake-up costs processor time on an idle vm
const METER_INTERVAL_MIN_MS = 25; // calls that arrive between two samples renew the measurement
const SHED_LOG_INTERVAL_MS = 1_000;
const RETRY_AFTER_MIN_MS = 10; // callers come to another process, and their targets begin at 149 ms
const RETRY_AFTER_SPREAD_MS = 40;
const ZONE_OVERLOADED_RATIO = 0.5;
const ZONE_OVERLOADED_FACTOR = 8; // 80 to 400 ms: the callers' next vm probably refuses them as well

/** The load of this process. */
export class LoadController {
  private readonly state = new LoadState();

  private readonly shedding: CallShedding;

  private wasOverloaded = false;

  private meteredAt = 0;

  /** Calls refused since the last log line about them. */
  private unloggedCount = 0;

  private loggedAt = 0;

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: LoadControllerOptions) {
    this.shedding = new CallShedding({ cores: options.cores });
  }

  /** Starts sampling. */
  start(): void {
    const { timers } = this.options;
    let dueAt = timers.now() + SAMPLE_INTERVAL_MS;
    this.unsubscribe = timers.subscribeEvery(SAMPLE_INTERVAL_MS, () => {
      const now = timers.now();
      this.readMeter(now);
      const { rotation } = this.options;
      const isShedding = this.shedding.isOverloaded();
      this.state.record(Math.max(0, now - dueAt), now, isShedding, rotation.mayLeave());
      rotation.update(this.getRotationState());
      dueAt = now + SAMPLE_INTERVAL_MS;
      this.report(now);
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

  /** Returns whether callers should send their next call on a new connection, which may reach another process. */
  shouldCloseConnections(): boolean {
    const now = this.options.timers.now();
    return this.state.isOverloaded(now) || this.shedding.isShedding(now);
  }

  /**
   * Decides about a call whose head has been read. Returns its refusal, or `undefined` if it is admitted.
   *
   * @param callsInProgress number of admitted calls that have not ended
   * @param getRank returns the priority rank; called only where the rank decides
   */
  shedCall(
    declaresTokens: boolean,
    callsInProgress: number,
    getRank: () => number,
  ): Refusal | undefined {
    const { timers, metrics, random, rotation } = this.options;
    const now = timers.now();
    if (now - this.meteredAt >= METER_INTERVAL_MIN_MS) {
      this.readMeter(now);
    }
    const kind = declaresTokens ? 'tokenCall' : 'plainCall';
    const isLate = this.state.isSaturated();
    const decision = this.shedding.decide({ kind, callsInProgress, isLate, getRank }, now);
    if (decision.kind === 'admitted') {
      return undefined;
    }
    metrics.shedCalls.inc({ reason: decision.reason });
    this.unloggedCount += 1;
    const retryAfterMs = RETRY_AFTER_MIN_MS + random() * RETRY_AFTER_SPREAD_MS;
    const isZoneOverloaded = rotation.getOverloadedRatio() >= ZONE_OVERLOADED_RATIO;
    return createRefusal('overloaded', {
      retryAfterMs: isZoneOverloaded ? retryAfterMs * ZONE_OVERLOADED_FACTOR : retryAfterMs,
    });
  }

  private getRotationState(): RotationState {
    if (this.isOverloaded()) {
      return 'out';
    }
    return this.state.isOverloadSuspected() ? 'overloaded' : 'serving';
  }

  private readMeter(nowMs: number): void {
    this.meteredAt = nowMs;
    const { meter } = this.options;
    this.shedding.record({
      nowMs,
      loopIdleMs: meter.readLoopIdleMs(),
      readProcessorMs: () => meter.readProcessorMs(),
    });
  }

  private report(nowMs: number): void {
    const { logger, metrics } = this.options;
    const lateMs = Math.round(this.state.getLateMs());
    const isOverloaded = this.isOverloaded();
    metrics.timerLatenessMs.set(lateMs);
    if (isOverloaded !== this.wasOverloaded) {
      this.wasOverloaded = isOverloaded;
      logger.warn(isOverloaded ? 'overloaded, not ready' : 'overload ended', { lateMs });
    }
    if (this.unloggedCount > 0 && nowMs - this.loggedAt >= SHED_LOG_INTERVAL_MS) {
      const busyRatio = this.shedding.getBusyRatio().toFixed(2);
      logger.info('calls refused: overloaded', { count: this.unloggedCount, lateMs, busyRatio });
      this.unloggedCount = 0;
      this.loggedAt = nowMs;
    }
  }
}
