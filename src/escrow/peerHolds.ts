/** The home's side of remote holds: tokens held here for calls that other vms serve. */
import { LRUCache } from 'lru-cache';
import type {
  PeerHoldRequest,
  PeerHoldResponse,
  PeerSettlement,
  PeerSettlements,
  PeerSettlementsResponse,
} from '../types/peers.js';
import { createDeferred } from '../core/utilities.js';
import type { BudgetId } from '../types/ids.js';
import type { HoldResult, TokenHold } from './escrowController.js';

/** Options of the holds. */
export interface PeerHoldsOptions {
  /** Holds tokens in this process's own account; waits up to `waitMs`. */
  readonly hold: (budget: BudgetId, tokens: number, waitMs: number) => Promise<HoldResult>;
  /** Returns whether this process can grant or refuse holds. */
  readonly isReady: () => boolean;
}

const ENDED_HOLDS_MAX = 20_000; // messages of one hold may be reordered by seconds, and a home serves hundreds of holds per second

/**
 * Holds by the id that the peer chose. A hold that the peer never settles stays held, because the peer may have spent all
 * of its tokens.
 */
export class PeerHolds {
  private readonly holds = new Map<string, TokenHold>();

  /** Responses by id, so that a repeated request gets the first response. */
  private readonly responses = new LRUCache<string, Promise<PeerHoldResponse>>({
    max: ENDED_HOLDS_MAX,
  });

  private readonly settlements = new LRUCache<string, PeerSettlement>({ max: ENDED_HOLDS_MAX });

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  constructor(private readonly options: PeerHoldsOptions) {}

  /** Holds tokens for a peer. */
  hold(request: PeerHoldRequest): Promise<PeerHoldResponse> {
    const cachedResponse = this.responses.get(request.hold);
    if (cachedResponse) {
      return cachedResponse;
    }
    const response = this.createHold(request);
    this.responses.set(request.hold, response);
    return response;
  }

  /** Ends a hold with the number of tokens used. A hold that is still waiting ends as soon as it gets its tokens. */
  settle(settlement: PeerSettlement): { isKnown: boolean } {
    const { hold: id, used } = settlement;
    const hold = this.holds.get(id);
    this.settlements.set(id, settlement);
    if (!hold) {
      return { isKnown: false };
    }
    this.holds.delete(id);
    hold.settle(used);
    this.resolveIfIdle();
    return { isKnown: true };
  }

  /** Ends several holds. */
  settleAll({ settlements }: PeerSettlements): PeerSettlementsResponse {
    const unknown = settlements.filter((settlement) => !this.settle(settlement).isKnown);
    return { unknown: unknown.map(({ hold }) => hold) };
  }

  /** Refuses new holds. */
  startDraining(): void {
    this.isDraining = true;
    this.resolveIfIdle();
  }

  /** Refuses new holds; resolves once all open holds are settled. */
  drain(): Promise<void> {
    this.startDraining();
    return this.drained.promise;
  }

  private async createHold(request: PeerHoldRequest): Promise<PeerHoldResponse> {
    const { hold: id, budget, tokens, waitMs } = request;
    if (this.isDraining || !this.options.isReady()) {
      return { kind: 'unavailable' };
    }
    const result = await this.options.hold(budget, tokens, waitMs);
    if (result.kind === 'refused') {
      const { name, detail, retryAfterMs } = result.refusal;
      return { kind: 'refused', name, detail, retryAfterMs };
    }
    const settlement = this.settlements.get(id);
    if (settlement) {
      result.hold.settle(settlement.used);
      return { kind: 'unavailable' };
    }
    this.holds.set(id, result.hold);
    return { kind: 'held' };
  }

  private resolveIfIdle(): void {
    if (this.isDraining && this.holds.size === 0) {
      this.drained.resolve();
    }
  }
}
