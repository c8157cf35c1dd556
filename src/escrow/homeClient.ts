/** A vm's side of remote holds: sets tokens aside at a home, and settles them there. */
import { createRefusal } from '../core/codes.js';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { createDeferred, getErrorMessage } from '../core/utilities.js';
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';
import type { PeerClient, PeerHoldAnswer } from '../types/peers.js';
import type { HoldResult } from './escrowController.js';
import type { HomeList } from './homeList.js';

/** Options of the client. */
export interface HomeClientOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Makes the ids of holds unique among all processes. */
  readonly run: Incarnation;
}

const HOMES_TRIED_MAX = 3; // a call's time is short, and homes that are silent are passed over the next time
const HOME_WAIT_MS = 180; // some appends of the home, which itself asks other homes in this time
const HOLD_TIMEOUT_MS = 240;
const SETTLE_TIMEOUT_MS = 500;
const SETTLE_RETRY_MIN_MS = 200;
const SETTLE_RETRY_MAX_MS = 2_000;
const SETTLE_ATTEMPTS_MAX = 15; // about 25 s, longer than partitions between vms that come back

/** Holds of this process at homes. */
export class HomeClient {
  private holdCount = 0;

  private pendingSettlements = 0;

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  constructor(private readonly options: HomeClientOptions) {}

  /** Sets tokens aside at the first home that answers; `undefined` where none does. */
  async hold(homes: HomeList, budget: BudgetId, tokens: number): Promise<HoldResult | undefined> {
    const asked = homes.getHomesToAsk(budget).slice(0, HOMES_TRIED_MAX);
    for (let index = 0; index < asked.length; index += 1) {
      // The next home is asked only where the one before did not answer.
      const result = await this.holdAt(asked[index]!, homes, budget, tokens);
      if (result) {
        return result;
      }
    }
    return undefined;
  }

  /** Resolves once every settlement was delivered or given up. */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.resolveIfIdle();
    await this.drained.promise;
  }

  private async holdAt(
    home: VmId,
    homes: HomeList,
    budget: BudgetId,
    tokens: number,
  ): Promise<HoldResult | undefined> {
    const { client, metrics, run } = this.options;
    this.holdCount += 1;
    const hold = `${run}-${this.holdCount}`;
    let answer: PeerHoldAnswer;
    try {
      const request = { hold, budget, tokens, waitMs: HOME_WAIT_MS };
      answer = await client.call(home, 'budget.hold', request, HOLD_TIMEOUT_MS);
    } catch (error) {
      metrics.remoteHolds.inc({ result: 'silent' });
      this.options.logger.info('hold not answered', {
        home,
        budget,
        hold,
        detail: getErrorMessage(error),
      });
      homes.recordTimeout(home);
      // The home may have set the tokens aside all the same.
      this.settle(home, hold, 0);
      return undefined;
    }
    metrics.remoteHolds.inc({ result: answer.kind });
    homes.recordResponse(home);
    return this.toHoldResult(answer, home, hold, budget, tokens);
  }

  private toHoldResult(
    answer: PeerHoldAnswer,
    home: VmId,
    id: string,
    budget: BudgetId,
    tokens: number,
  ): HoldResult | undefined {
    if (answer.kind === 'unavailable') {
      return undefined;
    }
    if (answer.kind === 'refused') {
      const { name, retryAfterMs } = answer;
      const detail = `${answer.detail ?? ''}, home ${home}`;
      return { kind: 'refused', refusal: createRefusal(name, { detail, retryAfterMs }) };
    }
    let isOpen = true;
    const settle = (used: number) => {
      if (isOpen) {
        isOpen = false;
        this.settle(home, id, used);
      }
    };
    return { kind: 'held', hold: { budget, tokens, settle } };
  }

  private settle(home: VmId, hold: string, used: number): void {
    this.pendingSettlements += 1;
    this.deliverSettlement(home, hold, used)
      .catch((error: unknown) => {
        const detail = getErrorMessage(error);
        this.options.logger.error('settlement failed', { home, hold, used, detail });
      })
      .finally(() => {
        this.pendingSettlements -= 1;
        this.resolveIfIdle();
      });
  }

  /** Repeats a settlement until the home has it: what is not settled stays set aside there. */
  private async deliverSettlement(home: VmId, hold: string, used: number): Promise<void> {
    const { client, timers, logger } = this.options;
    let detail = '';
    for (let attempt = 1; attempt <= SETTLE_ATTEMPTS_MAX; attempt += 1) {
      try {
        // Each try follows the failure of the one before.
        const { isKnown } = await client.call(
          home,
          'budget.settle',
          { hold, used },
          SETTLE_TIMEOUT_MS,
        );
        if (!isKnown && used > 0) {
          // The home has started again; its successor counts the hold as spent.
          logger.info('settled hold is unknown', { home, hold, used });
        }
        return;
      } catch (error) {
        detail = getErrorMessage(error);
        await timers.sleep(Math.min(SETTLE_RETRY_MAX_MS, SETTLE_RETRY_MIN_MS * attempt));
      }
    }
    logger.warn('hold not settled', { home, hold, used, detail, tries: SETTLE_ATTEMPTS_MAX });
  }

  private resolveIfIdle(): void {
    if (this.isDraining && this.pendingSettlements === 0) {
      this.drained.resolve();
    }
  }
}
