/** Audits the streams of bills, claims and rules. */
import type { ClaimKey, Incarnation } from '../types/ids.js';
import type { Entry } from '../types/records.js';
import { startReplay, type ReplayStart, type StreamDump } from '../log/streamDump.js';
import { BillProjection } from '../projections/billProjection.js';
import { ClaimProjection } from '../projections/claimProjection.js';
import { DuplicateFilter } from '../projections/projection.js';
import { RulesProjection } from '../projections/rulesProjection.js';
import { createNotAuditedFinding, type Guarantee, type Finding } from './finding.js';

/** Reports requests that were billed twice by one process or to two budgets. */
export function auditBills(dump: StreamDump): { projection: BillProjection; findings: Finding[] } {
  const projection = new BillProjection();
  // Each bill is independent of earlier records, so no checkpoint is needed.
  const replay = { duplicates: new DuplicateFilter(), batches: dump.batches };
  forEachEntry(replay, (entry, offset, incarnation) =>
    projection.apply(entry, { offset, incarnation }),
  );
  const findings = projection.duplicates.map(({ entry, holder, offset }): Finding => {
    const first = projection.bills.get(entry.request)!;
    const isRepeatElsewhere = first.entry.budget === entry.budget && first.holder !== holder;
    return {
      promise: 'billedOnce',
      severity: isRepeatElsewhere ? 'note' : 'broken',
      stream: dump.stream,
      offset,
      detail: isRepeatElsewhere
        ? `request ${entry.request}: a repeat at ${holder} does not count`
        : `request ${entry.request}: billed at offset ${first.offset} already`,
    };
  });
  return { projection, findings };
}

/** Reports calls that ran without their claim, ran twice, or were released after they ran. */
export function auditClaims(dump: StreamDump): Finding[] {
  const projection = new ClaimProjection();
  const findings: Finding[] = [];
  const replay = startReplay(dump, projection);
  if (!replay) {
    return [createNotAuditedFinding('runAtMostOnce', dump)];
  }
  const completed = [...projection.claims].filter(([, claim]) => claim.outcome !== undefined);
  const ranBy = new Map<ClaimKey, Incarnation>(completed.map(([key, { holder }]) => [key, holder]));
  forEachEntry(replay, (entry, offset, incarnation) => {
    const problem = findClaimProblem(entry, incarnation, projection, ranBy);
    if (problem !== undefined) {
      findings.push(createViolation('runAtMostOnce', dump.stream, offset, problem));
    }
    if (entry.kind === 'outcome') {
      ranBy.set(entry.key, incarnation);
    }
    projection.apply(entry, { offset, incarnation });
  });
  return findings;
}

function findClaimProblem(
  entry: Entry,
  incarnation: Incarnation,
  projection: ClaimProjection,
  ranBy: ReadonlyMap<ClaimKey, Incarnation>,
): string | undefined {
  if (entry.kind === 'release' && ranBy.get(entry.key) === incarnation) {
    return `call ${entry.key}: ${incarnation} ran it and released it`;
  }
  if (entry.kind !== 'outcome') {
    return undefined;
  }
  const claim = projection.claims.get(entry.key);
  if (ranBy.has(entry.key)) {
    return `call ${entry.key}: ran at ${ranBy.get(entry.key)} and at ${incarnation}`;
  }
  if (claim?.holder !== incarnation) {
    return `call ${entry.key}: ran at ${incarnation}, claimed by ${claim?.holder ?? 'nobody'}`;
  }
  return undefined;
}

/** Replays the rule edits. Reports a decrease of the accepted version and edits with a wrong digest. */
export function auditRules(dump: StreamDump): { projection: RulesProjection; findings: Finding[] } {
  const projection = new RulesProjection();
  const findings: Finding[] = [];
  const replay = startReplay(dump, projection);
  if (!replay) {
    return { projection, findings: [createNotAuditedFinding('rulesNeverRevert', dump)] };
  }
  forEachEntry(replay, (entry, offset) => {
    const before = projection.version;
    projection.apply(entry);
    if (entry.kind === 'edit' && entry.base === before && projection.version === before) {
      const detail = `edit ${entry.edit}: its digest does not match its text; it was not accepted`;
      findings.push({
        promise: 'rulesNeverRevert',
        severity: 'note',
        stream: dump.stream,
        offset,
        detail,
      });
    }
    if (projection.version < before) {
      findings.push(createViolation('rulesNeverRevert', dump.stream, offset, 'the version fell'));
    }
  });
  return { projection, findings };
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
