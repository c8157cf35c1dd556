/** Takes tokens out of this process's allotments for requests, and moves them between peers while the store is away. */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import { createDeferred, getErrorMessage, getHash32 } from '../core/utilities.js';
import type { BudgetId } from '../types/ids.js';
import type { Account } from './account.js';
import type { AccountShard } from './accountShard.js';
import { PeerHolds } from './peerHolds.js';
import type { HomeClient } from './homeClient.js';

/** Asks peers for tokens of a budget; returns how many came. */
export type PeerTokenRequester = (budget: BudgetId, need: number, want: number) => Promise<number>;

/** Options of the controller. */
export interface EscrowControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly shards: readonly AccountShard[];
  readonly requestFromPeers: PeerTokenRequester;
  /** Sets tokens aside at the homes of budgets. */
  readonly homeClient: HomeClient;
  /** Default 250 ms. */
  readonly holdWaitMs?: number;
}

/** Tokens set aside for one request. */
export interface TokenHold {
  readonly budget: BudgetId;
  readonly tokens: number;
  /** Ends the hold with what was used; the rest is free again. Repeats do nothing. */
  readonly settle: (used: number) => void;
}

/** Whether tokens were set aside. */
export type HoldResult =
  | { readonly kind: 'held'; readonly hold: TokenHold }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const HOLD_WAIT_MS = 250; // two appends with a collision; a caller's target is 300 ms and more
const EXTEND_AFTER_MS = 80; // an append that takes so long may not come back at all
const LENT_RETRY_AFTER_MS = 800; // holders look at what others lack twice in this time
const UNAVAILABLE_RETRY_AFTER_MS = 1_500;
const PEER_REQUEST_FACTOR = 4; // asks for some requests at once, so that peers are not asked for each
const PEER_REQUEST_HORIZON_MS = 1_000; // spending that one loan covers
const LEND_WAIT_MS = 80; // one append after another of the same process; the borrower gives up after 100 ms
const LEND_POLL_INTERVAL_MS = 10;

/** Returns what an account can lend and still serve a request of its own. */
function getLendableTokens({ allotment }: Account): number {
  return Math.floor(allotment.free - allotment.meanHold);
}

/** All budgets of this process. */
export class EscrowController {
  /** Budgets for which peers are being asked. */
  private readonly budgetsBeingRequested = new Set<BudgetId>();

  /** What is set aside here for calls of other vms. */
  readonly peerHolds: PeerHolds;

  constructor(private readonly options: EscrowControllerOptions) {
    this.peerHolds = new PeerHolds({
      isReady: () => this.isReady(),
      hold: (budget, tokens, waitMs) => this.holdLocally(budget, tokens, waitMs),
    });
  }

  /** Starts every shard. */
  start(): void {
    this.options.shards.forEach((shard) => shard.start());
  }

  /** Takes no further holds of peers; they go to other homes. */
  startDraining(): void {
    this.peerHolds.startDraining();
  }

  /** Takes no further holds of peers; resolves once those that are open, here and at homes, are settled. */
  async drain(): Promise<void> {
    await Promise.all([this.peerHolds.drain(), this.options.homeClient.drain()]);
  }

  /** Gives back what is free. */
  async stop(): Promise<void> {
    await Promise.all(this.options.shards.map((shard) => shard.stop()));
  }

  /** Returns whether every account is known. */
  isReady(): boolean {
    return this.options.shards.every((shard) => shard.isReady());
  }

  /** Tells the shards that totals may have changed. */
  onTotalsChanged(): void {
    this.options.shards.forEach((shard) => shard.requestSync());
  }

  /**
   * Sets tokens aside, waiting a moment for the store or for peers.
   *
   * @example
   * const result = await escrow.hold(budget, 1_200);
   * if (result.kind === 'held') result.hold.settle(900);
   */
  async hold(budget: BudgetId, tokens: number): Promise<HoldResult> {
    const { timers, metrics } = this.options;
    const startedAt = timers.now();
    const result =
      (await this.holdAtHome(budget, tokens)) ?? (await this.holdLocally(budget, tokens));
    const waitedMs = timers.now() - startedAt;
    metrics.holdSeconds.observe({ result: result.kind }, waitedMs / 1_000);
    if (result.kind === 'refused') {
      this.logRefusal(budget, tokens, waitedMs);
    }
    return result;
  }

  /** Returns `undefined` where this vm is the budget's home, or where none answers: then this vm claims. */
  private async holdAtHome(budget: BudgetId, tokens: number): Promise<HoldResult | undefined> {
    const shard = this.getShard(budget);
    const { homes } = shard;
    // A process whose account is not stored yet can't claim.
    return homes.isHomeOf(budget) && shard.isReady()
      ? undefined
      : this.options.homeClient.hold(homes, budget, tokens);
  }

  private async holdLocally(
    budget: BudgetId,
    tokens: number,
    waitMs = this.options.holdWaitMs ?? HOLD_WAIT_MS,
  ): Promise<HoldResult> {
    const shard = this.getShard(budget);
    const account = shard.accounts.getAccount(budget);
    const now = this.options.timers.now();
    account.recordDemand(tokens, now);
    if (account.allotment.tryHold(tokens, now)) {
      return this.createHold(account, tokens);
    }
    if (account.allotment.isRecentlyExhausted(tokens, now)) {
      account.unmetDemand += tokens;
      return this.refuse(shard, budget, tokens);
    }
    if (await this.waitForTokens(shard, account, tokens, waitMs)) {
      return this.createHold(account, tokens);
    }
    // Where the store has enough the claim was only slow, and the next call may get it.
    if (shard.isStoreUnavailable() || shard.accounts.getUnclaimed(budget) < tokens) {
      account.allotment.recordExhausted(tokens, this.options.timers.now());
    }
    account.unmetDemand += tokens;
    shard.requestSync();
    return this.refuse(shard, budget, tokens);
  }

  private logRefusal(budget: BudgetId, need: number, waitedMs: number): void {
    const shard = this.getShard(budget);
    const account = shard.accounts.getAccount(budget);
    this.options.logger.info('tokens not held', {
      budget,
      need,
      waitedMs: Math.round(waitedMs),
      free: account.allotment.free,
      freeInAll: account.getTotalFree(),
      target: shard.accounts.getTarget(budget),
      available: shard.accounts.getUnclaimed(budget),
      ledgerAgeMs: Math.round(shard.getLedgerAgeMs()),
      isStoreAway: shard.isStoreUnavailable(),
    });
  }

  /** Takes free tokens out for a peer and returns how many; they count as spent here. */
  async lendTokens(budget: BudgetId, need: number, want: number): Promise<number> {
    const shard = this.getShard(budget);
    const account = shard.accounts.getAccount(budget);
    const { allotment } = account;
    if (getLendableTokens(account) < need) {
      await (shard.isStoreUnavailable()
        ? shard.extend()
        : this.claimForPeer(shard, account, need, want));
    }
    const lendable = getLendableTokens(account);
    const tokens = lendable >= need ? allotment.withdraw(Math.min(want, lendable)) : 0;
    account.recordLent(tokens, this.options.timers.now());
    this.options.logger.info('tokens lent', { budget, need, want, tokens, free: allotment.free });
    return tokens;
  }

  /** Claims for a peer that the store does not answer. It waits for the store alone, never for another peer. */
  private async claimForPeer(
    shard: AccountShard,
    account: Account,
    need: number,
    want: number,
  ): Promise<void> {
    if (shard.accounts.getUnclaimed(account.allotment.budget) < need) {
      return;
    }
    account.unmetDemand = Math.max(
      account.unmetDemand,
      want + Math.ceil(account.allotment.meanHold),
    );
    shard.requestSync();
    for (let waitedMs = 0; waitedMs < LEND_WAIT_MS; waitedMs += LEND_POLL_INTERVAL_MS) {
      // What is claimed comes in between.
      await this.options.timers.sleep(LEND_POLL_INTERVAL_MS);
      if (getLendableTokens(account) >= need) {
        return;
      }
    }
  }

  /** Returns the shard of a budget. */
  getShard(budget: BudgetId): AccountShard {
    const { shards } = this.options;
    return shards[getHash32(budget) % shards.length]!;
  }

  private async waitForTokens(
    shard: AccountShard,
    account: Account,
    tokens: number,
    waitMs: number,
  ): Promise<boolean> {
    const { timers } = this.options;
    const granted = createDeferred<boolean>();
    const waiter = { need: tokens, finish: granted.resolve };
    account.allotment.waiters.push(waiter);
    shard.requestSync();
    const checkStore = () => {
      if (shard.isStoreUnresponsive(EXTEND_AFTER_MS)) {
        this.acquireWithoutStore(shard, account, tokens);
      }
    };
    const cancelExtension = timers.subscribeEvery(EXTEND_AFTER_MS, checkStore);
    checkStore();
    if (shard.accounts.getUnclaimed(account.allotment.budget) < tokens) {
      this.requestTokensFromPeers(account, tokens);
    }
    const cancel = timers.subscribe(waitMs, () => granted.resolve(false));
    const isGranted = await granted.promise;
    cancel();
    cancelExtension();
    const index = account.allotment.waiters.indexOf(waiter);
    if (index >= 0) {
      account.allotment.waiters.splice(index, 1);
      // Those behind it may need less.
      account.allotment.credit(0);
    }
    return isGranted;
  }

  /** Opens this process's own claims first; peers are asked for what is lacking after that. */
  private acquireWithoutStore(shard: AccountShard, account: Account, need: number): void {
    shard
      .extend()
      .then(() => {
        if (account.allotment.waiters.length > 0) {
          this.requestTokensFromPeers(account, need);
        }
      })
      .catch((error: unknown) => {
        this.options.logger.error('extension failed', { detail: getErrorMessage(error) });
      });
  }

  private requestTokensFromPeers(account: Account, need: number): void {
    const { requestFromPeers, logger, timers } = this.options;
    const { allotment } = account;
    if (this.budgetsBeingRequested.has(allotment.budget)) {
      return;
    }
    this.budgetsBeingRequested.add(allotment.budget);
    const spending = Math.ceil(account.getExpectedSpending(PEER_REQUEST_HORIZON_MS, timers.now()));
    const want = Math.max(need * PEER_REQUEST_FACTOR, spending);
    requestFromPeers(allotment.budget, need, want)
      .then((tokens) => {
        if (tokens > 0) {
          allotment.received += tokens;
          allotment.clearExhausted();
          allotment.credit(tokens);
          logger.info('tokens received', { budget: allotment.budget, need, tokens });
        }
      })
      .catch((error: unknown) => {
        logger.warn('peers gave no tokens', {
          budget: allotment.budget,
          detail: getErrorMessage(error),
        });
      })
      .finally(() => this.budgetsBeingRequested.delete(allotment.budget));
  }

  private createHold(account: Account, tokens: number): HoldResult {
    const { allotment } = account;
    const { timers } = this.options;
    let isOpen = true;
    const settle = (used: number) => {
      if (isOpen) {
        isOpen = false;
        account.settle(tokens, used, timers.now());
      }
    };
    return { kind: 'held', hold: { budget: allotment.budget, tokens, settle } };
  }

  /** Says that the balance is too low only where the store proves it. */
  private refuse(shard: AccountShard, budget: BudgetId, tokens: number): HoldResult {
    const total = shard.accounts.getTotal(budget)?.tokens ?? 0;
    const spent = shard.accounts.getProvenSpent(budget);
    const inputs = `need ${tokens}, total ${total}, spent ${spent}, claimed ${shard.ledger.getClaimed(budget)}`;
    if (spent + tokens > total) {
      return { kind: 'refused', refusal: createRefusal('balanceTooLow', { detail: inputs }) };
    }
    const retryAfterMs = shard.isStoreUnavailable()
      ? UNAVAILABLE_RETRY_AFTER_MS
      : LENT_RETRY_AFTER_MS;
    return {
      kind: 'refused',
      refusal: createRefusal('tokensLent', { detail: inputs, retryAfterMs }),
    };
  }
}
