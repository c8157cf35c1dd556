/**
 * Folds a budget stream. Grants are decided here, in log order, against funds that stand in the same
 * stream, so the sum granted never exceeds the sum funded whoever is alive or reachable.
 */
import type { BudgetId, FundId, Incarnation, RulesVersion } from '../types/ids.js';
import type { AskEntry, BudgetEntry, Entry, FundEntry, ReportEntry } from '../types/records.js';
import { assertNever, getOrCreate } from '../core/utilities.js';
import { Projection, type EntryContext } from './projection.js';

/** An ask above its need gets at most this part of what is left, so that grants shrink as funds do. */
export const GRANT_SHARE_DIVISOR = 4;

/** What one fund holds. */
export interface Fund {
  /** What counts; above `stated` where a lowering came after the tokens were granted. */
  tokens: number;
  /** What the rules say. */
  declaredTokens: number;
  version: RulesVersion;
}

/** Running totals of one holder, in tokens. */
export interface Holder {
  granted: number;
  returned: number;
  spent: number;
  sent: number;
  received: number;
  /** As last reported. */
  held: number;
  /** The highest ask that was decided, whether by a grant, a denial or a cancel. */
  decidedAsk: number;
}

/** An ask that waits for tokens to come back. */
export interface PendingAsk {
  readonly holder: Incarnation;
  readonly ask: number;
  readonly need: number;
}

/** One budget's account. All amounts are in tokens. */
export interface Account {
  funds: Map<FundId, Fund>;
  funded: number;
  /** Granted and not returned. Never above `funded`. */
  outstanding: number;
  holders: Map<Incarnation, Holder>;
  pending: PendingAsk[];
}

/** The order of a holder's totals in a checkpoint. */
const HOLDER_FIELDS = [
  'granted',
  'returned',
  'spent',
  'sent',
  'received',
  'held',
  'decidedAsk',
] as const;

/** Returns the tokens that a holder may still spend as far as the log shows: its part in doubt. */
export function getUnaccountedTokens(holder: Holder): number {
  return holder.granted + holder.received - holder.returned - holder.sent - holder.spent;
}

/**
 * The state of one budget stream.
 *
 * @example
 * const fold = new BudgetFold();
 * fold.apply({ kind: 'fund', budget, fund, tokens: 1_000, version }, context);
 * fold.apply({ kind: 'ask', budget, ask: 1, need: 100, want: 400 }, context);
 * fold.accounts.get(budget)?.outstanding; // 250, a quarter of what was left
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
      [...account.funds].map(([fund, { tokens, declaredTokens: stated, version }]) => [
        fund,
        tokens,
        stated,
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

/** Sets a fund. Lowering one takes back only what is not granted yet. */
function applyFund(account: Account, entry: FundEntry): void {
  const known = account.funds.get(entry.fund);
  if (known && known.version >= entry.version) {
    return;
  }
  const before = known?.tokens ?? 0;
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

/** Grants waiting asks in their order, each exactly its need, while the tokens last. */
function grantPendingAsks(account: Account): void {
  for (let [head] = account.pending; head; [head] = account.pending) {
    if (head.need > account.funded - account.outstanding) {
      return;
    }
    account.pending.shift();
    grantTokens(account, getOrCreateHolder(account, head.holder), head.ask, head.need);
  }
}

/** Removes a holder's waiting ask: the one named, or any. */
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
