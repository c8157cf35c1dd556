/**
 * Decides from the lateness of timers whether a process is overloaded. Callers are distributed by their addresses, so one
 * vm can get many times the calls of others. An overloaded process leaves the load balancer's rotation, so that its callers
 * are distributed over other vms, and a saturated one refuses calls that it could only serve too late.
 */

/** Options of a load state. Times are in milliseconds. */
export interface LoadStateOptions {
  /** Smoothed lateness from which a process counts as overloaded. Default 60. */
  readonly overloadLateMs?: number;
  /** Smoothed lateness below which a process no longer counts as overloaded. Default 30. */
  readonly recoveredLateMs?: number;
  /** Duration of overload after which a process leaves the rotation, so that a single stall does not count. Default 500. */
  readonly overloadDelayMs?: number;
  /** Smoothed lateness from which new calls are refused. Default 300. */
  readonly saturatedLateMs?: number;
  /** Minimum time out of the rotation; doubles if the overload soon returns. Default 4,000. */
  readonly outOfRotationMinMs?: number;
  /** Maximum time out of the rotation. Default 16,000. */
  readonly outOfRotationMaxMs?: number;
}

/** Time constant of the exponential smoothing of lateness. */
const SMOOTHING_TIME_CONSTANT_MS = 400;
/** Maximum weight of one sample, however long the process stalled before it. */
const SAMPLE_WEIGHT_MAX = 0.25;
/** Maximum lateness counted for one sample; a vm that was frozen is late by seconds. */
const SAMPLE_LATE_MAX_MS = 400;

/** The load of one process. */
export class LoadState {
  private lateMs = 0;

  private recordedAt: number | undefined;

  private overloadedSince: number | undefined;

  private outOfRotationUntil = 0;

  private outOfRotationMs = 0;

  constructor(private readonly options: LoadStateOptions = {}) {}

  /**
   * Records the lateness of a timer.
   *
   * @param isShedding whether calls are being refused, which keeps the lateness low
   * @param mayLeave whether the process may leave the rotation now
   */
  record(lateMs: number, nowMs: number, isShedding = false, mayLeave = true): void {
    const { overloadLateMs = 60, recoveredLateMs = 30, overloadDelayMs = 500 } = this.options;
    const elapsedMs = nowMs - (this.recordedAt ?? nowMs);
    const weight = Math.min(
      SAMPLE_WEIGHT_MAX,
      1 - Math.exp(-elapsedMs / SMOOTHING_TIME_CONSTANT_MS),
    );
    this.recordedAt = nowMs;
    this.lateMs += (Math.min(lateMs, SAMPLE_LATE_MAX_MS) - this.lateMs) * weight;
    if (this.lateMs >= overloadLateMs || isShedding) {
      this.overloadedSince ??= nowMs;
    } else if (this.lateMs < recoveredLateMs) {
      this.overloadedSince = undefined;
    }
    if (
      mayLeave &&
      this.overloadedSince !== undefined &&
      nowMs - this.overloadedSince >= overloadDelayMs
    ) {
      this.leaveRotation(nowMs);
    }
  }

  /** Returns whether the load balancer should send new connections to other processes. */
  isOverloaded(nowMs: number): boolean {
    return nowMs < this.outOfRotationUntil;
  }

  /** Returns whether the process is overloaded, in or out of the rotation. */
  isOverloadSuspected(): boolean {
    return this.overloadedSince !== undefined;
  }

  /** Returns whether a call that arrives now would be served too late. */
  isSaturated(): boolean {
    return this.lateMs >= (this.options.saturatedLateMs ?? 300);
  }

  /** Returns the smoothed lateness in milliseconds. */
  getLateMs(): number {
    return this.lateMs;
  }

  private leaveRotation(nowMs: number): void {
    const { outOfRotationMinMs = 4_000, outOfRotationMaxMs = 16_000 } = this.options;
    if (this.isOverloaded(nowMs)) {
      return;
    }
    const isRepeatedOverload = nowMs - this.outOfRotationUntil < this.outOfRotationMs;
    this.outOfRotationMs = isRepeatedOverload
      ? Math.min(outOfRotationMaxMs, this.outOfRotationMs * 2)
      : outOfRotationMinMs;
    this.outOfRotationUntil = nowMs + this.outOfRotationMs;
  }
}
