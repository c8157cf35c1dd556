/** Checks bills, claims and rules. */
import type { ClaimKey, Incarnation } from '../types/ids.js';
import type { Entry } from '../types/records.js';
import { startReplay, type ReplayStart, type StreamDump } from '../log/streamDump.js';
import { BillProjection } from '../projections/billProjection.js';
import { ClaimProjection } from '../projections/claimProjection.js';
import { DuplicateFilter } from '../projections/projection.js';
import { RulesProjection } from '../projections/rulesProjection.js';
import { createNotAuditedFinding, type Guarantee, type Finding } from './finding.js';

/** Looks for requests billed twice by one process or to two budgets. */
export function auditBills(dump: StreamDump): { projection: BillProjection; findings: Finding[] } {
  const fold = new BillProjection();
  // Bills need no checkpoint: each stands for itself.
  const start = { duplicates: new DuplicateFilter(), batches: dump.batches };
  forEachEntry(start, (entry, offset, incarnation) => fold.apply(entry, { offset, incarnation }));
  const findings = fold.duplicates.map(({ entry, holder, offset }): Finding => {
    const first = fold.bills.get(entry.request)!;
    const isSame = first.entry.budget === entry.budget && first.holder !== holder;
    return {
      promise: 'billedOnce',
      severity: isSame ? 'note' : 'broken',
      stream: dump.stream,
      offset,
      detail: isSame
        ? `request ${entry.request}: a repeat at ${holder} does not count`
        : `request ${entry.request}: billed at offset ${first.offset} already`,
    };
  });
  return { projection: fold, findings };
}

/** Looks for outcomes of calls that their holder had no claim to run. */
export function auditClaims(dump: StreamDump): Finding[] {
  const fold = new ClaimProjection();
  const findings: Finding[] = [];
  const start = startReplay(dump, fold);
  if (!start) {
    return [createNotAuditedFinding('runAtMostOnce', dump)];
  }
  const ended = [...fold.claims].filter(([, claim]) => claim.outcome !== undefined);
  const ran = new Map<ClaimKey, Incarnation>(ended.map(([key, { holder }]) => [key, holder]));
  forEachEntry(start, (entry, offset, incarnation) => {
    const problem = findClaimProblem(entry, incarnation, fold, ran);
    if (problem !== undefined) {
      findings.push(createViolation('runAtMostOnce', dump.stream, offset, problem));
    }
    if (entry.kind === 'outcome') {
      ran.set(entry.key, incarnation);
    }
    fold.apply(entry, { offset, incarnation });
  });
  return findings;
}

function findClaimProblem(
  entry: Entry,
  incarnation: Incarnation,
  fold: ClaimProjection,
  ran: ReadonlyMap<ClaimKey, Incarnation>,
): string | undefined {
  if (entry.kind === 'release' && ran.get(entry.key) === incarnation) {
    return `call ${entry.key}: ${incarnation} ran it and released it`;
  }
  if (entry.kind !== 'outcome') {
    return undefined;
  }
  const claim = fold.claims.get(entry.key);
  if (ran.has(entry.key)) {
    return `call ${entry.key}: ran at ${ran.get(entry.key)} and at ${incarnation}`;
  }
  if (claim?.holder !== incarnation) {
    return `call ${entry.key}: ran at ${incarnation}, claimed by ${claim?.holder ?? 'nobody'}`;
  }
  return undefined;
}

/** Replays the rules; each accepted edit must follow from the one before. */
export function auditRules(dump: StreamDump): { projection: RulesProjection; findings: Finding[] } {
  const fold = new RulesProjection();
  const findings: Finding[] = [];
  const start = startReplay(dump, fold);
  if (!start) {
    return { projection: fold, findings: [createNotAuditedFinding('rulesNeverRevert', dump)] };
  }
  forEachEntry(start, (entry, offset) => {
    const before = fold.version;
    fold.apply(entry);
    if (entry.kind === 'edit' && entry.base === before && fold.version === before) {
      const detail = `edit ${entry.edit}: its digest does not match its text; it was not accepted`;
      findings.push({
        promise: 'rulesNeverRevert',
        severity: 'note',
        stream: dump.stream,
        offset,
        detail,
      });
    }
    if (fold.version < before) {
      findings.push(createViolation('rulesNeverRevert', dump.stream, offset, 'the version fell'));
    }
  });
  return { projection: fold, findings };
}

function createViolation(
  promise: Guarantee,
  stream: string,
  offset: number,
  detail: string,
): Finding {
  return { promise, severity: 'broken', stream, offset, detail };
}

function forEachEntry(
  { duplicates, batches }: ReplayStart,
  visit: (entry: Entry, offset: StreamDump['first'], incarnation: Incarnation) => void,
): void {
  batches
    .filter(({ batch }) => duplicates.accept(batch))
    .forEach(({ offset, batch }) => {
      batch.entries.forEach((entry) => visit(entry, offset, batch.incarnation));
    });
}
