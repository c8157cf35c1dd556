/** A home's side of remote holds: tokens that are set aside here for calls that other vms serve. */
import { LRUCache } from 'lru-cache';
import type { PeerHoldAnswer, PeerHoldRequest, PeerSettlement } from '../types/peers.js';
import { createDeferred } from '../core/utilities.js';
import type { BudgetId } from '../types/ids.js';
import type { HoldResult, TokenHold } from './escrowController.js';

/** Options of the holds. */
export interface PeerHoldsOptions {
  /** Sets tokens aside in this process's own account, waiting for so many milliseconds. */
  readonly hold: (budget: BudgetId, tokens: number, waitMs: number) => Promise<HoldResult>;
  /** Returns whether this process can judge a hold. */
  readonly isReady: () => boolean;
}

const ENDED_HOLDS_MAX = 20_000; // messages of one hold overtake each other by seconds, and a home serves hundreds a second

/**
 * Holds by the id that the peer chose. What is held for a peer that never settles stays set aside: it may have
 * spent all of it.
 */
export class PeerHolds {
  private readonly holds = new Map<string, TokenHold>();

  /** Answers by id, so that a repeat gets the first one. */
  private readonly answers = new LRUCache<string, Promise<PeerHoldAnswer>>({
    max: ENDED_HOLDS_MAX,
  });

  private readonly settlements = new LRUCache<string, PeerSettlement>({ max: ENDED_HOLDS_MAX });

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  constructor(private readonly options: PeerHoldsOptions) {}

  /** Sets tokens aside for a peer. */
  hold(request: PeerHoldRequest): Promise<PeerHoldAnswer> {
    const known = this.answers.get(request.hold);
    if (known) {
      return known;
    }
    const answer = this.createHold(request);
    this.answers.set(request.hold, answer);
    return answer;
  }

  /** Ends a hold with what was used; one that is still waiting ends as soon as it has its tokens. */
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

  /** Takes no further holds. */
  startDraining(): void {
    this.isDraining = true;
    this.resolveIfIdle();
  }

  /** Resolves once no further hold is taken and all are settled. */
  drain(): Promise<void> {
    this.startDraining();
    return this.drained.promise;
  }

  private async createHold(request: PeerHoldRequest): Promise<PeerHoldAnswer> {
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
