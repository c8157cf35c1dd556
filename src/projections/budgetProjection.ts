/**
 * The projection of a budget stream. Grants are decided here in log order, against the funds recorded in
 * the same stream, so the tokens granted never exceed the tokens funded, whichever routers are reachable.
 */
import type { BudgetId, FundId, Incarnation, RulesVersion } from '../types/ids.js';
import type { AskEntry, BudgetEntry, Entry, FundEntry, ReportEntry } from '../types/records.js';
import { assertNever, getOrCreate } from '../core/utilities.js';
import { Projection, type EntryContext } from './projection.js';

/**
 * Divisor of the available tokens. Beyond its need, an ask gets at most this share, so that grants shrink
 * as the available tokens do.
 */
export const GRANT_SHARE_DIVISOR = 4;

/** The tokens of one fund. */
export interface Fund {
  /** The effective amount. Exceeds `declaredTokens` if that was lowered below the granted tokens. */
  tokens: number;
  /** The amount declared by the rules. */
  declaredTokens: number;
  version: RulesVersion;
}

/** Cumulative totals of one holder, in tokens. */
export interface Holder {
  granted: number;
  returned: number;
  spent: number;
  sent: number;
  received: number;
  /** Tokens held for requests in flight, as last reported. */
  held: number;
  /** The number of the last ask that was granted, denied or cancelled. */
  decidedAsk: number;
}

/** An ask that waits until enough tokens are returned or funded. */
export interface PendingAsk {
  readonly holder: Incarnation;
  readonly ask: number;
  readonly need: number;
}

/** The account of one budget. All amounts are in tokens. */
export interface Account {
  funds: Map<FundId, Fund>;
  funded: number;
  /** Tokens granted and not returned. Never exceeds `funded`. */
  outstanding: number;
  holders: Map<Incarnation, Holder>;
  pending: PendingAsk[];
}

/** The order in which the totals of a holder are stored in a checkpoint. */
const HOLDER_FIELDS = [
  'granted',
  'returned',
  'spent',
  'sent',
  'received',
  'held',
  'decidedAsk',
] as const;

/** Returns the tokens that a holder may still spend: those the log does not show as spent, sent or returned. */
export function getUnaccountedTokens(holder: Holder): number {
  return holder.granted + holder.received - holder.returned - holder.sent - holder.spent;
}

/**
 * The accounts of one budget stream.
 *
 * @example
 * const projection = new BudgetProjection();
 * projection.apply({ kind: 'fund', budget, fund, tokens: 1_000, version }, context);
 * projection.apply({ kind: 'ask', budget, ask: 1, need: 100, want: 400 }, context);
 * projection.accounts.get(budget)?.outstanding; // 250, a quarter of the available tokens
 */
export class BudgetProjection extends Projection {
  readonly accounts = new Map<BudgetId, Account>();

  override apply(entry: Entry, context: EntryContext): void {
    if (!isBudgetEntry(entry)) {
      return;
    }
    const account = getOrCreate(this.accounts, entry.budget, createAccount);
    switch (entry.kind) {
      case 'fund':
        applyFund(account, entry);
        break;
      case 'ask':
        applyAsk(account, entry, context.incarnation);
        break;
      case 'cancel':
        removePendingAsk(account, entry.holder, entry.ask);
        break;
      case 'return':
        getOrCreateHolder(account, context.incarnation).returned += entry.tokens;
        account.outstanding -= entry.tokens;
        break;
      case 'report':
        applyReport(getOrCreateHolder(account, context.incarnation), entry);
        break;
      default:
        assertNever(entry);
    }
    grantPendingAsks(account);
  }

  override save(): unknown {
    return [...this.accounts].map(([budget, account]) => [
      budget,
      [...account.funds].map(([fund, { tokens, declaredTokens, version }]) => [
        fund,
        tokens,
        declaredTokens,
        version,
      ]),
      account.funded,
      account.outstanding,
      [...account.holders].map(([id, holder]) => [
        id,
        ...HOLDER_FIELDS.map((name) => holder[name]),
      ]),
      account.pending.map(({ holder, ask, need }) => [holder, ask, need]),
    ]);
  }

  override load(saved: unknown): void {
    this.accounts.clear();
    (saved as SavedAccount[]).forEach(([budget, funds, funded, outstanding, holders, pending]) => {
      this.accounts.set(budget, {
        funds: new Map(
          funds.map(([fund, tokens, declaredTokens, version]) => [
            fund,
            { tokens, declaredTokens, version },
          ]),
        ),
        funded,
        outstanding,
        holders: new Map(holders.map(([id, ...values]) => [id, loadHolder(values)])),
        pending: pending.map(([holder, ask, need]) => ({ holder, ask, need })),
      });
    });
  }
}

type SavedAccount = [
  BudgetId,
  [FundId, number, number, RulesVersion][],
  number,
  number,
  [Incarnation, ...number[]][],
  [Incarnation, number, number][],
];

function loadHolder(values: readonly number[]): Holder {
  const holder = createHolder();
  HOLDER_FIELDS.forEach((name, index) => {
    holder[name] = values[index] ?? 0;
  });
  return holder;
}

function isBudgetEntry(entry: Entry): entry is BudgetEntry {
  return 'budget' in entry && entry.kind !== 'bill';
}

function createAccount(): Account {
  return { funds: new Map(), funded: 0, outstanding: 0, holders: new Map(), pending: [] };
}

function createHolder(): Holder {
  return { granted: 0, returned: 0, spent: 0, sent: 0, received: 0, held: 0, decidedAsk: 0 };
}

function getOrCreateHolder(account: Account, holder: Incarnation): Holder {
  return getOrCreate(account.holders, holder, createHolder);
}

/** Sets the tokens of a fund. A decrease takes back only tokens that are not granted. */
function applyFund(account: Account, entry: FundEntry): void {
  const fund = account.funds.get(entry.fund);
  if (fund && fund.version >= entry.version) {
    return;
  }
  const before = fund?.tokens ?? 0;
  const available = account.funded - account.outstanding;
  const tokens = Math.max(entry.tokens, before - available);
  account.funds.set(entry.fund, { tokens, declaredTokens: entry.tokens, version: entry.version });
  account.funded += tokens - before;
}

function applyAsk(account: Account, entry: AskEntry, incarnation: Incarnation): void {
  const holder = getOrCreateHolder(account, incarnation);
  if (entry.ask <= holder.decidedAsk) {
    return;
  }
  removePendingAsk(account, incarnation);
  const available = account.funded - account.outstanding;
  const mustWait = account.pending.length > 0 || available < entry.need;
  if (!mustWait) {
    const share = Math.floor(available / GRANT_SHARE_DIVISOR);
    grantTokens(account, holder, entry.ask, Math.max(entry.need, Math.min(entry.want, share)));
  } else if (entry.need > 0 && entry.need <= account.funded) {
    account.pending.push({ holder: incarnation, ask: entry.ask, need: entry.need });
  } else {
    holder.decidedAsk = entry.ask;
  }
}

function grantTokens(account: Account, holder: Holder, ask: number, tokens: number): void {
  holder.granted += tokens;
  holder.decidedAsk = ask;
  account.outstanding += tokens;
}

/** Grants pending asks in order, each exactly its need, while enough tokens are available. */
function grantPendingAsks(account: Account): void {
  for (let [head] = account.pending; head; [head] = account.pending) {
    if (head.need > account.funded - account.outstanding) {
      return;
    }
    account.pending.shift();
    grantTokens(account, getOrCreateHolder(account, head.holder), head.ask, head.need);
  }
}

/** Removes the pending ask of a holder (only the one numbered `ask`, if given) and marks it as decided. */
function removePendingAsk(account: Account, holder: Incarnation, ask?: number): void {
  account.pending
    .filter((pending) => pending.holder === holder && (ask === undefined || pending.ask === ask))
    .forEach((pending) => {
      getOrCreateHolder(account, holder).decidedAsk = pending.ask;
    });
  account.pending = account.pending.filter(
    (pending) => pending.holder !== holder || (ask !== undefined && pending.ask !== ask),
  );
}

function applyReport(holder: Holder, entry: ReportEntry): void {
  holder.spent = Math.max(holder.spent, entry.spent);
  holder.sent = Math.max(holder.sent, entry.sent);
  holder.received = Math.max(holder.received, entry.received);
  holder.held = entry.held ?? 0;
}
