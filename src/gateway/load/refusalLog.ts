/** Counts refusals by reason and logs a bounded number of them. */
import type { Logger } from '../../core/logging.js';
import type { Metrics } from '../../core/metrics.js';
import type { AdmissionInputs, AdmissionReason } from './admission.js';

/** Options of the log. */
export interface RefusalLogOptions {
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'admissionRefusals'>;
  /** The most lines in a second. Default 2; a line costs about as much as a placement. */
  readonly linesPerSecond?: number;
}

/** A refused call. */
export interface RefusedCall {
  readonly request: string;
  readonly reason: AdmissionReason;
  readonly retryAfterMs: number;
  readonly inputs: AdmissionInputs;
}

const SECOND_MS = 1_000;

/**
 * The refusals of one gateway.
 *
 * @example
 * refusalLog.record({ request, reason: 'queuesFull', retryAfterMs: 200, inputs }, nowMs);
 */
export class RefusalLog {
  private secondStart = Number.NEGATIVE_INFINITY;

  private lineCount = 0;

  private suppressedCount = 0;

  constructor(private readonly options: RefusalLogOptions) {}

  /** Records a refusal. */
  record({ request, reason, retryAfterMs, inputs }: RefusedCall, nowMs: number): void {
    const { logger, metrics, linesPerSecond = 2 } = this.options;
    metrics.admissionRefusals.inc({ reason });
    if (nowMs - this.secondStart >= SECOND_MS) {
      this.secondStart = nowMs;
      this.lineCount = 0;
    }
    if (this.lineCount >= linesPerSecond) {
      this.suppressedCount += 1;
      return;
    }
    this.lineCount += 1;
    const { firstEventMs, waitMs, timeLeftMs, rank } = inputs;
    logger.info('call refused by the load of the endpoints', {
      request,
      reason,
      retryAfterMs,
      rank,
      firstEventMs: Math.round(firstEventMs),
      waitMs: Math.round(waitMs),
      timeLeftMs: Math.round(timeLeftMs),
      suppressedLines: this.suppressedCount,
    });
    this.suppressedCount = 0;
  }
}
