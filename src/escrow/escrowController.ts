/** Holds tokens for requests, and transfers tokens between peers when a process can't claim enough from the store. */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import { createDeferred, getErrorMessage, getHash32 } from '../core/utilities.js';
import type { BudgetId } from '../types/ids.js';
import type { Account } from './account.js';
import type { AccountShard } from './accountShard.js';
import type { AdvanceAccounts } from './advanceAccounts.js';
import type { AdvanceClient } from './advanceClient.js';
import { PeerHolds } from './peerHolds.js';
import type { HomeClient } from './homeClient.js';

/** Requests tokens of a budget from peers; returns how many it received. */
export type PeerTokenRequester = (budget: BudgetId, need: number, want: number) => Promise<number>;

/** Options of the controller. */
export interface EscrowControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly shards: readonly AccountShard[];
  readonly requestFromPeers: PeerTokenRequester;
  /** Holds tokens at the homes of budgets. */
  readonly homeClient: HomeClient;
  /** Holds tokens that homes lent ahead of calls. Default: every hold asks a home. */
  readonly advances?: AdvanceClient;
  /** Lends tokens ahead of the calls of other vms. Default: none are lent ahead. */
  readonly advanceAccounts?: AdvanceAccounts;
  /** The maximum wait of a hold. Default 250 ms. */
  readonly holdWaitMs?: number;
}

/** Tokens held for one request. */
export interface TokenHold {
  readonly budget: BudgetId;
  readonly tokens: number;
  /** Ends the hold with the number of tokens used and frees the rest. Further calls have no effect. */
  readonly settle: (used: number) => void;
}

/** The outcome of a request for a hold. */
export type HoldResult =
  | { readonly kind: 'held'; readonly hold: TokenHold }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const HOLD_WAIT_MS = 250; // time for two appends and a conflict; callers' latency targets are at least 300 ms
const EXTEND_AFTER_MS = 80; // an append that takes this long may never return
const LENT_RETRY_AFTER_MS = 800; // holders read the others' shortfalls twice in this time
const UNAVAILABLE_RETRY_AFTER_MS = 1_500;
const PEER_REQUEST_FACTOR = 4; // covers several requests, so that not every one needs a peer call
const PEER_REQUEST_HORIZON_MS = 1_000; // how much spending one loan covers
const LEND_WAIT_MS = 80; // two appends of one process in a row; the borrower times out after 100 ms
const LEND_POLL_INTERVAL_MS = 10;

/** Returns how many tokens an account can lend and still serve a request of its own. */
function getLendableTokens({ allotment }: Account): number {
  return Math.floor(allotment.free - allotment.meanHold);
}

/** Holds and loans of all budgets in this process. */
export class EscrowController {
  /** Budgets for which a request to peers is in progress. */
  private readonly budgetsBeingRequested = new Set<BudgetId>();

  /** Tokens held here for calls of other vms. */
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
    this.options.advances?.start();
  }

  /** Refuses new holds of peers; they go to other homes. */
  startDraining(): void {
    this.peerHolds.startDraining();
    this.options.advanceAccounts?.startDraining();
  }

  /** Refuses new holds of peers; resolves once all open holds, here and at homes, are settled. */
  async drain(): Promise<void> {
    const { homeClient, advances, advanceAccounts } = this.options;
    advanceAccounts?.startDraining();
    await Promise.all([this.peerHolds.drain(), homeClient.drain(), advances?.drain()]);
  }

  /** Stops every shard, which returns all free tokens. */
  async stop(): Promise<void> {
    await Promise.all(this.options.shards.map((shard) => shard.stop()));
  }

  /** Returns whether every shard is ready. */
  isReady(): boolean {
    return this.options.shards.every((shard) => shard.isReady());
  }

  /** Requests a sync of every shard after totals may have changed. */
  onTotalsChanged(): void {
    this.options.shards.forEach((shard) => shard.requestSync());
  }

  /**
   * Holds tokens for a request; waits up to `holdWaitMs` for the store or for peers.
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

  /** Returns `undefined` if this vm is the budget's home or no home responds; this vm then claims the tokens itself. */
  private async holdAtHome(budget: BudgetId, tokens: number): Promise<HoldResult | undefined> {
    const shard = this.getShard(budget);
    const { homes } = shard;
    // A home whose first record is not stored yet can't claim and asks other homes.
    if (homes.isHomeOf(budget) && shard.isReady()) {
      return undefined;
    }
    const { advances, homeClient } = this.options;
    advances?.recordDemand(budget, tokens);
    const hold = advances?.tryHold(budget, tokens);
    const result: HoldResult | undefined = hold
      ? { kind: 'held', hold }
      : await homeClient.hold(homes, budget, tokens);
    return result?.kind === 'held' && advances
      ? { kind: 'held', hold: this.withDemandCorrection(result.hold) }
      : result;
  }

  /** Returns a hold whose unused tokens do not count as demand of this vm. */
  private withDemandCorrection(hold: TokenHold): TokenHold {
    const { budget, tokens } = hold;
    let isOpen = true;
    const settle = (used: number) => {
      if (isOpen && used < tokens) {
        this.options.advances?.recordDemand(budget, Math.max(0, used) - tokens);
      }
      isOpen = false;
      hold.settle(used);
    };
    return { budget, tokens, settle };
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
      account.recordUnmet(tokens, now);
      return this.refuse(shard, budget, tokens);
    }
    if (await this.waitForTokens(shard, account, tokens, waitMs)) {
      return this.createHold(account, tokens);
    }
    // If the store has enough tokens, the claim was only slow and the next call may succeed.
    if (shard.isStoreUnavailable() || shard.accounts.getUnclaimed(budget) < tokens) {
      account.allotment.recordExhausted(tokens, this.options.timers.now());
    }
    account.recordUnmet(tokens, this.options.timers.now());
    shard.requestSync();
    return this.refuse(shard, budget, tokens);
  }

  private logRefusal(budget: BudgetId, need: number, waitedMs: number): void {
    const shard = this.getShard(budget);
    const account = shard.accounts.getAccount(budget);
    this.options.logger.info('hold refused: not enough tokens', {
      budget,
      need,
      waitedMs: Math.round(waitedMs),
      free: account.allotment.free,
      totalFree: account.getTotalFree(),
      target: shard.accounts.getTarget(budget),
      unclaimed: shard.accounts.getUnclaimed(budget),
      ledgerAgeMs: Math.round(shard.getLedgerAgeMs()),
      isStoreUnavailable: shard.isStoreUnavailable(),
    });
  }

  /** Withdraws free tokens for a peer and returns how many; they count as spent here. */
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
    this.options.logger.info('lent tokens to a peer', {
      budget,
      need,
      want,
      tokens,
      free: allotment.free,
    });
    return tokens;
  }

  /** Claims tokens for a peer that can't reach the store. Waits for the store only, never for another peer. */
  private async claimForPeer(
    shard: AccountShard,
    account: Account,
    need: number,
    want: number,
  ): Promise<void> {
    if (shard.accounts.getUnclaimed(account.allotment.budget) < need) {
      return;
    }
    const unmet = want + Math.ceil(account.allotment.meanHold);
    account.ensureUnmet(unmet, this.options.timers.now());
    shard.requestSync();
    for (let waitedMs = 0; waitedMs < LEND_WAIT_MS; waitedMs += LEND_POLL_INTERVAL_MS) {
      // The sync credits the claim during this wait.
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
        this.recallAdvances(account);
      }
    };
    const cancelExtension = timers.subscribeEvery(EXTEND_AFTER_MS, checkStore);
    checkStore();
    if (shard.accounts.getUnclaimed(account.allotment.budget) < tokens) {
      this.requestTokensFromPeers(account, tokens);
      this.recallAdvances(account);
    }
    const cancel = timers.subscribe(waitMs, () => granted.resolve(false));
    const isGranted = await granted.promise;
    cancel();
    cancelExtension();
    const index = account.allotment.waiters.indexOf(waiter);
    if (index >= 0) {
      account.allotment.waiters.splice(index, 1);
      // The waiters behind this one may need fewer tokens.
      account.allotment.credit(0);
    }
    return isGranted;
  }

  /** Activates all of this process's claims, then requests tokens from peers if requests still wait. */
  private acquireWithoutStore(shard: AccountShard, account: Account, need: number): void {
    shard
      .extend()
      .then(() => {
        if (account.allotment.waiters.length > 0) {
          this.requestTokensFromPeers(account, need);
        }
      })
      .catch((error: unknown) => {
        this.options.logger.error('could not extend claims', { detail: getErrorMessage(error) });
      });
  }

  /** Calls back what the waiting calls lack. */
  private recallAdvances({ allotment }: Account): void {
    const needed = allotment.waiters.reduce((sum, { need }) => sum + need, 0);
    this.options.advanceAccounts?.recall(allotment.budget, needed - allotment.free);
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
          logger.info('received tokens from peers', { budget: allotment.budget, need, tokens });
        }
      })
      .catch((error: unknown) => {
        logger.warn('request for tokens from peers failed', {
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

  /** Refuses with `balanceTooLow` only if known spending proves it, with `tokensLent` otherwise. */
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
