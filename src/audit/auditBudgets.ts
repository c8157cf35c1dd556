/** Audits budget streams: checks grants, usage reports and bills against each other. */
import type { BudgetId, Incarnation } from '../types/ids.js';
import type { ReportEntry } from '../types/records.js';
import { startReplay, type BatchRecord, type StreamDump } from '../log/streamDump.js';
import { BudgetProjection, type Holder } from '../projections/budgetProjection.js';
import type { Bill } from '../projections/billProjection.js';
import { createNotAuditedFinding, type Finding } from './finding.js';

/** The audit result of one budget stream. */
export interface BudgetAudit {
  readonly projection: BudgetProjection;
  readonly findings: readonly Finding[];
  /** False if the oldest records were trimmed and no checkpoint replaces them. */
  readonly isComplete: boolean;
}

/** Replays a budget stream and reports each holder that spent more tokens than it was granted. */
export function auditBudgetStream(dump: StreamDump): BudgetAudit {
  const projection = new BudgetProjection();
  const findings: Finding[] = [];
  const replay = startReplay(dump, projection);
  if (!replay) {
    return {
      projection,
      findings: [createNotAuditedFinding('noOverspend', dump)],
      isComplete: false,
    };
  }
  replay.batches
    .filter(({ batch }) => replay.duplicates.accept(batch))
    .forEach((placed) => replayBatch(placed, projection, dump, findings));
  return { projection, findings, isComplete: true };
}

function replayBatch(
  { offset, batch }: BatchRecord,
  projection: BudgetProjection,
  dump: StreamDump,
  findings: Finding[],
): void {
  batch.entries.forEach((entry) => {
    projection.apply(entry, { offset, incarnation: batch.incarnation });
    const detail =
      'budget' in entry ? findOverspend(projection, entry.budget, batch.incarnation) : undefined;
    if (detail !== undefined) {
      findings.push({
        promise: 'noOverspend',
        severity: 'broken',
        stream: dump.stream,
        offset,
        detail,
      });
    }
  });
}

function findOverspend(
  projection: BudgetProjection,
  budget: BudgetId,
  incarnation: Incarnation,
): string | undefined {
  const account = projection.accounts.get(budget);
  if (account && account.outstanding > account.funded) {
    return `budget ${budget}: ${account.outstanding} granted of ${account.funded} funded`;
  }
  const holder = account?.holders.get(incarnation);
  if (holder && getUsedTokens(holder) > getObtainedTokens(holder)) {
    return `budget ${budget}: ${incarnation} used ${getUsedTokens(holder)} of ${getObtainedTokens(holder)} granted`;
  }
  return undefined;
}

function getUsedTokens(holder: Pick<ReportEntry, 'spent' | 'sent'>): number {
  return holder.spent + holder.sent;
}

function getObtainedTokens(holder: Holder): number {
  return holder.granted + holder.received - holder.returned;
}

/**
 * Checks that the tokens billed by each router do not exceed the tokens it obtained, and that the tokens
 * billed to each budget do not exceed its grants. The second check needs `isComplete`: every budget
 * stream could be replayed.
 */
export function auditBilledTotals(
  projections: readonly BudgetProjection[],
  bills: Iterable<Bill>,
  isComplete: boolean,
): Finding[] {
  const billed = new Map<string, { budget: BudgetId; holder: Incarnation; tokens: number }>();
  [...bills].forEach(({ entry, holder }) => {
    const key = `${entry.budget}\n${holder}`;
    const tokens = entry.promptTokens + entry.completionTokens;
    const previous = billed.get(key);
    billed.set(key, { budget: entry.budget, holder, tokens: (previous?.tokens ?? 0) + tokens });
  });
  const findings: Finding[] = [];
  const totals = new Map<BudgetId, number>();
  billed.forEach(({ budget, holder, tokens }) => {
    const account = projections.map(({ accounts }) => accounts.get(budget)).find(Boolean);
    const record = account?.holders.get(holder);
    const total = totals.get(budget) ?? 0;
    totals.set(budget, total + tokens);
    // A router that is not a home of the budget has no account; it obtains tokens from a home.
    const obtained = record ? getObtainedTokens(record) - record.sent : Number.POSITIVE_INFINITY;
    if (tokens > obtained) {
      const detail = `budget ${budget}: ${holder} billed ${tokens} of ${obtained} drawn`;
      findings.push(createTotalFinding(detail));
    }
  });
  totals.forEach((tokens, budget) => {
    const account = projections.map(({ accounts }) => accounts.get(budget)).find(Boolean);
    const granted = account?.outstanding ?? 0;
    if (tokens > granted && isComplete) {
      const detail = `budget ${budget}: ${tokens} billed of ${granted} granted`;
      findings.push(createTotalFinding(detail));
    }
  });
  return findings;
}

function createTotalFinding(detail: string): Finding {
  return { promise: 'noOverspend', severity: 'broken', stream: 'bills', offset: -1, detail };
}
