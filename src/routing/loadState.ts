/**
 * Decides from the lateness of timers whether a process keeps up with its calls. It answers a vm that gets many times the
 * calls of its neighbours, since callers are spread by their addresses: a process that can't keep up leaves the balancer's
 * rotation, so that its callers are spread over others, and refuses at once what it could only serve late.
 */

/** Options of a state. Times are in milliseconds. */
export interface LoadStateOptions {
  /** Smoothed lateness from which a process counts as busy. Default 60. */
  readonly overloadLateMs?: number;
  /** Smoothed lateness below which it keeps up again. Default 30. */
  readonly recoveredLateMs?: number;
  /** How long it must be busy before it leaves the rotation; a single stall is no load. Default 500. */
  readonly overloadDelayMs?: number;
  /** Smoothed lateness from which further calls are refused. Default 300. */
  readonly saturatedLateMs?: number;
  /** Shortest time out of the rotation; doubles when the load is back soon. Default 4,000. */
  readonly outOfRotationMinMs?: number;
  /** Default 16,000. */
  readonly outOfRotationMaxMs?: number;
}

/** Time over which lateness is smoothed. */
const SMOOTHING_TIME_CONSTANT_MS = 400;
/** One sample counts for no more than this part, however long the process stood still. */
const SAMPLE_WEIGHT_MAX = 0.25;
/** A frozen vm is late by seconds; so much says that it is late, and no more. */
const SAMPLE_LATE_MAX_MS = 400;

/** What one process knows of its own load. */
export class LoadState {
  private lateMs = 0;

  private recordedAt: number | undefined;

  private overloadedSince: number | undefined;

  private outOfRotationUntil = 0;

  private outOfRotationMs = 0;

  constructor(private readonly options: LoadStateOptions = {}) {}

  /** Takes in how late a timer was. */
  record(lateMs: number, nowMs: number): void {
    const {
      overloadLateMs: overloadLateMs = 60,
      recoveredLateMs: recoveredLateMs = 30,
      overloadDelayMs: overloadDelayMs = 500,
    } = this.options;
    const elapsedMs = nowMs - (this.recordedAt ?? nowMs);
    const weight = Math.min(
      SAMPLE_WEIGHT_MAX,
      1 - Math.exp(-elapsedMs / SMOOTHING_TIME_CONSTANT_MS),
    );
    this.recordedAt = nowMs;
    this.lateMs += (Math.min(lateMs, SAMPLE_LATE_MAX_MS) - this.lateMs) * weight;
    if (this.lateMs >= overloadLateMs) {
      this.overloadedSince ??= nowMs;
    } else if (this.lateMs < recoveredLateMs) {
      this.overloadedSince = undefined;
    }
    if (this.overloadedSince !== undefined && nowMs - this.overloadedSince >= overloadDelayMs) {
      this.leaveRotation(nowMs);
    }
  }

  /** Returns whether new connections should go to other processes. */
  isOverloaded(nowMs: number): boolean {
    return nowMs < this.outOfRotationUntil;
  }

  /** Returns whether a call that comes now would be served too late. */
  isSaturated(): boolean {
    return this.lateMs >= (this.options.saturatedLateMs ?? 300);
  }

  /** Returns the smoothed lateness in milliseconds. */
  getLateMs(): number {
    return this.lateMs;
  }

  private leaveRotation(nowMs: number): void {
    const {
      outOfRotationMinMs: outOfRotationMinMs = 4_000,
      outOfRotationMaxMs: outOfRotationMaxMs = 16_000,
    } = this.options;
    if (this.isOverloaded(nowMs)) {
      return;
    }
    const isBackSoon = nowMs - this.outOfRotationUntil < this.outOfRotationMs;
    this.outOfRotationMs = isBackSoon
      ? Math.min(outOfRotationMaxMs, this.outOfRotationMs * 2)
      : outOfRotationMinMs;
    this.outOfRotationUntil = nowMs + this.outOfRotationMs;
  }
}
