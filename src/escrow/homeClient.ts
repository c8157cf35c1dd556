/** The client side of remote holds: holds tokens at a home and settles them there. */
import { createRefusal } from '../core/codes.js';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';
import type { PeerClient, PeerHoldResponse } from '../types/peers.js';
import type { HoldResult } from './escrowController.js';
import type { HomeList } from './homeList.js';
import { SettlementQueue } from './settlementQueue.js';

/** Options of the client. */
export interface HomeClientOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Makes hold ids unique among all processes. */
  readonly run: Incarnation;
}

const HOMES_TRIED_MAX = 3; // limits a call's wait; unresponsive homes are excluded from the following calls
const HOME_WAIT_MS = 180; // a few appends of the home, which may ask other homes within this time
const HOLD_TIMEOUT_MS = 240;

/** This process's holds at homes. */
export class HomeClient {
  private holdCount = 0;

  private readonly settlements: SettlementQueue;

  constructor(private readonly options: HomeClientOptions) {
    const { client, timers, logger } = options;
    this.settlements = new SettlementQueue({ client, timers, logger });
  }

  /** Holds tokens at the first home that responds; `undefined` if none does. */
  async hold(homes: HomeList, budget: BudgetId, tokens: number): Promise<HoldResult | undefined> {
    const candidates = homes.getHomesToAsk(budget).slice(0, HOMES_TRIED_MAX);
    for (let index = 0; index < candidates.length; index += 1) {
      // Sequential: the next home is asked only if the previous one did not respond.
      const result = await this.holdAt(candidates[index]!, homes, budget, tokens);
      if (result) {
        return result;
      }
    }
    return undefined;
  }

  /** Resolves once every settlement has been delivered or abandoned. */
  drain(): Promise<void> {
    return this.settlements.drain();
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
    let response: PeerHoldResponse;
    try {
      const request = { hold, budget, tokens, waitMs: HOME_WAIT_MS };
      response = await client.call(home, 'budget.hold', request, HOLD_TIMEOUT_MS);
    } catch (error) {
      metrics.remoteHolds.inc({ result: 'silent' });
      this.options.logger.info('home did not respond to a hold in time', {
        home,
        budget,
        hold,
        detail: getErrorMessage(error),
      });
      homes.recordTimeout(home);
      // The home may have granted the hold nevertheless.
      this.settlements.add(home, { hold, used: 0 });
      return undefined;
    }
    metrics.remoteHolds.inc({ result: response.kind });
    homes.recordResponse(home);
    return this.toHoldResult(response, home, hold, budget, tokens);
  }

  private toHoldResult(
    response: PeerHoldResponse,
    home: VmId,
    id: string,
    budget: BudgetId,
    tokens: number,
  ): HoldResult | undefined {
    if (response.kind === 'unavailable') {
      return undefined;
    }
    if (response.kind === 'refused') {
      const { name, retryAfterMs } = response;
      const detail = `${response.detail ?? ''}, home ${home}`;
      return { kind: 'refused', refusal: createRefusal(name, { detail, retryAfterMs }) };
    }
    let isOpen = true;
    const settle = (used: number) => {
      if (isOpen) {
        isOpen = false;
        this.settlements.add(home, { hold: id, used });
      }
    };
    return { kind: 'held', hold: { budget, tokens, settle } };
  }
}
