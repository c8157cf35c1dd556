/** Reports the state of this vm to the coordinator of its zone, which decides whether it may leave the rotation. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import { ZoneRotation, type RotationAdvice, type RotationState } from '../routing/zoneRotation.js';
import type { AvailabilityZone, VmId } from '../types/ids.js';
import type { PeerClient, RotationReport } from '../types/peers.js';

/** Options of the controller. */
export interface RotationControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly vm: VmId;
  readonly zone: AvailabilityZone;
  /** Returns the vm that coordinates a zone, which may be this one; `undefined` while none is known. */
  readonly getCoordinator: (zone: AvailabilityZone) => VmId | undefined;
}

const SERVING_INTERVAL_MS = 10_000;
const OVERLOADED_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 350;
const INDEPENDENT_AFTER_FAILURES = 2; // one late answer must not let the vms of a busy zone leave together
const ADVICE_LIFETIME_MS = 2_500;
/** Without a coordinator each vm decides for itself, as it does in a fleet of one. */
const INDEPENDENT: RotationAdvice = { mayLeave: true, overloadedRatio: 0 };

/** The part of one vm in the rotation of its zone. */
export class RotationController {
  private readonly rotation = new ZoneRotation();

  private advice: RotationAdvice | undefined;

  private advisedAt = 0;

  private failureCount = 0;

  private reportedAt = Number.NEGATIVE_INFINITY;

  private reportedState: RotationState = 'serving';

  constructor(private readonly options: RotationControllerOptions) {}

  /** Answers the report of a vm whose zone this vm coordinates. */
  handleReport({ zone, vm, state }: RotationReport): RotationAdvice {
    return this.rotation.report(zone, vm, state, this.options.timers.now());
  }

  /** Reports the state if it has changed to a worse one or the last report is old. */
  update(state: RotationState): void {
    const now = this.options.timers.now();
    const intervalMs = state === 'serving' ? SERVING_INTERVAL_MS : OVERLOADED_INTERVAL_MS;
    const isWorse = state !== 'serving' && this.reportedState === 'serving';
    if (isWorse || now - this.reportedAt >= intervalMs) {
      this.reportedAt = now;
      this.reportedState = state;
      this.report(state);
    }
  }

  /** Returns whether this vm may leave the rotation; not before the coordinator has had time to answer. */
  mayLeave(): boolean {
    return this.getAdvice()?.mayLeave ?? false;
  }

  /** Returns the share of the zone's other vms that are overloaded, as far as known. */
  getOverloadedRatio(): number {
    return this.getAdvice()?.overloadedRatio ?? 0;
  }

  private getAdvice(): RotationAdvice | undefined {
    const isFresh = this.options.timers.now() - this.advisedAt < ADVICE_LIFETIME_MS;
    return isFresh ? this.advice : undefined;
  }

  private report(state: RotationState): void {
    const { client, vm, zone, getCoordinator, logger } = this.options;
    const coordinator = getCoordinator(zone);
    const report = { vm, zone, state };
    if (coordinator === undefined || coordinator === vm) {
      this.setAdvice(coordinator === vm ? this.handleReport(report) : INDEPENDENT);
      return;
    }
    client
      .call(coordinator, 'gateway.rotation', report, REPORT_TIMEOUT_MS)
      .then((advice) => {
        this.failureCount = 0;
        this.setAdvice(advice);
      })
      .catch((error: unknown) => {
        this.failureCount += 1;
        if (this.failureCount >= INDEPENDENT_AFTER_FAILURES) {
          this.setAdvice(INDEPENDENT);
        }
        logger.debug('coordinator of the zone did not answer', {
          coordinator,
          detail: getErrorMessage(error),
        });
      });
  }

  private setAdvice(advice: RotationAdvice): void {
    this.advice = advice;
    this.advisedAt = this.options.timers.now();
  }
}
