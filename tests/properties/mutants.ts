/** Mutants: routers with one deliberate fault each, which the interleavings must detect. */
import { Ok, type Result } from '../../src/core/results.js';
import type { Projection } from '../../src/projections/projection.js';
import { applyLineChanges, getRulesDigest } from '../../src/projections/rulesProjection.js';
import type { BudgetProjection } from '../../src/projections/budgetProjection.js';
import type { ClaimProjection } from '../../src/projections/claimProjection.js';
import { decodeBatch, encodeBatch } from '../../src/log/codec.js';
import type { StreamReader } from '../../src/log/streamReader.js';
import type { Router } from '../../src/router.js';
import type { BudgetId, Offset, StreamName } from '../../src/types/ids.js';
import type { Entry } from '../../src/types/records.js';
import { LogService, type LogFailure, type LogPage } from '../../src/types/platform.js';
import type { InterleavingOptions } from './interleaving.js';

/** A fault, with the options that inject it. */
export interface Mutant {
  readonly name: string;
  readonly options: InterleavingOptions;
}

type MutableMembers = Record<string, unknown>;

const RETENTION_MS = 4_000;
const EXPIRE_AFTER_CHECKS = 3;

/** Replaces a member of an object, also a private one. */
function replace<Target extends object>(
  target: Target,
  name: string,
  create: (original: (...args: never[]) => unknown) => unknown,
): void {
  const members = target as MutableMembers;
  const original = members[name];
  members[name] = create(
    typeof original === 'function' ? (original.bind(target) as never) : () => original,
  );
}

function getReaders({ budgets, claims, rules }: Router): StreamReader<Projection>[] {
  return [
    claims.reader,
    rules.reader,
    ...budgets.shards.map(({ tokenSource }) => tokenSource.reader),
  ];
}

/** A log client that retries an append under a new sequence if its response was lost. */
class ResequencingLog extends LogService {
  private readonly sequenceShifts = new Map<string, number>();

  constructor(private readonly log: LogService) {
    super();
  }

  override async append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, LogFailure>> {
    const batch = decodeBatch(data)!;
    const shift = this.sequenceShifts.get(stream) ?? 0;
    const renamed = encodeBatch({ ...batch, sequence: batch.sequence + shift });
    const result = await this.log.append(stream, renamed);
    if (result.err) {
      this.sequenceShifts.set(stream, shift + 1);
    }
    return result;
  }

  override read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
  ): Promise<Result<LogPage, LogFailure>> {
    return this.log.read(stream, from, waitMs);
  }
}

function skipDuplicateFilter(router: Router): void {
  getReaders(router).forEach((reader) => {
    replace((reader as unknown as { duplicates: object }).duplicates, 'accept', () => () => true);
  });
}

function creditBeforeGrant({ budgets }: Router): void {
  budgets.shards.forEach((shard) => {
    replace(shard, 'ask', (ask) => (allotment: never, need: never) => {
      ask(allotment, need);
      (allotment as { credit: (tokens: number) => void }).credit(Math.max(need, 100));
    });
  });
}

function grantByLocalRules({ budgets, rules }: Router): void {
  budgets.shards.forEach(({ tokenSource: { reader } }) => {
    replace(reader.projection, 'apply', (apply) => (entry: Entry, context: never) => {
      if (entry.kind === 'fund') {
        return;
      }
      if ('budget' in entry) {
        setFundsFromRules(reader.projection, entry.budget, [
          ...(rules.getActive()?.set.funds.values() ?? []),
        ]);
      }
      apply(entry as never, context);
    });
  });
}

function setFundsFromRules(
  projection: BudgetProjection,
  budget: BudgetId,
  funds: readonly { readonly budget: BudgetId; readonly tokens: number }[],
): void {
  const account = projection.accounts.get(budget);
  if (account) {
    account.funded = funds
      .filter((fund) => fund.budget === budget)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}

function expireOldClaims(router: Router): void {
  const seen = new Map<string, number>();
  const { timers } = (router as unknown as { options: { timers: { subscribeEvery: never } } })
    .options;
  const timerService = timers as unknown as {
    subscribeEvery: (ms: number, listener: () => void) => void;
  };
  timerService.subscribeEvery(1_000, () => {
    const projection: ClaimProjection = router.claims.reader.projection;
    projection.claims.forEach((claim, key) => {
      seen.set(key, (seen.get(key) ?? 0) + 1);
      if (!claim.outcome && seen.get(key)! > EXPIRE_AFTER_CHECKS) {
        projection.claims.delete(key);
        seen.delete(key);
      }
    });
  });
}

function transferWithoutDeducting({ budgets }: Router): void {
  replace(
    budgets,
    'lendTokens',
    () => async (_: BudgetId, need: number, want: number) => Math.max(need, Math.ceil(want / 2)),
  );
}

function returnWithoutDeducting({ budgets }: Router): void {
  budgets.shards.forEach((shard) => {
    replace(shard, 'giveBack', (giveBack) => async (allotment: never, tokens: never) => {
      const { free } = allotment as { free: number };
      await giveBack(allotment, tokens);
      (allotment as { free: number }).free = free;
    });
  });
}

function runBeforeClaimIsDecided({ claims }: Router): void {
  replace(claims, 'claim', (claim) => async (key: never, request: never, digest: never) => {
    claim(key, request, digest);
    return Ok({ kind: 'won' });
  });
}

function acceptAnyBase({ rules }: Router): void {
  const { projection } = rules.reader;
  replace(projection, 'apply', (apply) => (entry: Entry) => {
    if (entry.kind === 'edit') {
      const digest = getRulesDigest(applyLineChanges(projection.lines, entry.changes));
      apply({ ...entry, base: projection.version, digest } as never);
    }
  });
}

/** Reports a failed request as not run although its call was sent. */
function reportFailuresAsNotRun(router: Router): void {
  const { filters } = router as unknown as { filters: { name: string }[] };
  const relay = filters.find(({ name }) => name === 'relay')!;
  replace(relay, 'handle', (handle) => async (exchange: never) => {
    const result = (await handle(exchange)) as { err: boolean; val: MutableMembers };
    if (result.err) {
      result.val = { ...result.val, ran: 'not_run' };
    }
    return result;
  });
}

/** Continues after trimmed records without restoring a checkpoint. */
function ignoreGaps(router: Router): void {
  getReaders(router).forEach((reader) => {
    replace(reader, 'startOver', () => (first: Offset) => {
      (reader as unknown as { next: Offset }).next = first;
    });
  });
}

function dropBills(router: Router): void {
  const { bills } = router as unknown as { bills: object };
  let count = 0;
  replace(bills, 'append', (append) => (entry: never) => {
    count += 1;
    return count % 5 === 0 ? Promise.resolve() : append(entry);
  });
}

function swapRequestBodies(router: Router): void {
  const { options } = router as unknown as { options: { endpointClient: object } };
  let last: unknown;
  replace(options.endpointClient, 'send', (send) => async (call: { body?: Uint8Array }) => {
    const body = last ?? call.body;
    last = call.body;
    return send({ ...call, body } as never);
  });
}

/** All mutants. */
export const mutants: readonly Mutant[] = [
  {
    name: 'an append is retried under a new sequence',
    options: { wrapLog: (log) => new ResequencingLog(log) },
  },
  {
    name: 'duplicate records are applied twice',
    options: { patchRouter: skipDuplicateFilter, tokens: 400, idleReturnMs: 1_000 },
  },
  {
    name: 'tokens are spent before the log grants them',
    options: { patchRouter: creditBeforeGrant },
  },
  {
    name: 'grants are decided by funds of another stream',
    options: { patchRouter: grantByLocalRules },
  },
  {
    name: 'a claim without outcome expires',
    options: { patchRouter: expireOldClaims },
  },
  {
    name: 'transferred tokens are not deducted',
    options: { patchRouter: transferWithoutDeducting, tokens: 400 },
  },
  { name: 'returned tokens are not deducted', options: { patchRouter: returnWithoutDeducting } },
  {
    name: 'a call is sent before its claim is decided',
    options: { patchRouter: runBeforeClaimIsDecided },
  },
  { name: 'an edit of any base version is accepted', options: { patchRouter: acceptAnyBase } },
  {
    name: 'a failed call is always reported as not run',
    options: { patchRouter: reportFailuresAsNotRun },
  },
  { name: 'some bills are not stored', options: { patchRouter: dropBills } },
  {
    name: 'a request is sent with the body of another',
    options: { patchRouter: swapRequestBodies },
  },
  {
    name: 'trimmed records are ignored',
    options: { patchRouter: ignoreGaps, retentionMs: RETENTION_MS, checkService: false },
  },
];
