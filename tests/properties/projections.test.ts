import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { BudgetProjection, GRANT_SHARE_DIVISOR } from '../../src/projections/budgetProjection.js';
import { ClaimProjection } from '../../src/projections/claimProjection.js';
import { BillProjection } from '../../src/projections/billProjection.js';
import { DuplicateFilter } from '../../src/projections/projection.js';
import {
  applyLineChanges,
  getRulesDigest,
  RulesProjection,
} from '../../src/projections/rulesProjection.js';
import { decodeBatch, encodeBatch } from '../../src/log/codec.js';
import {
  createCheckpointEntries,
  CheckpointAssembler,
  decodeCheckpoint,
} from '../../src/log/checkpoint.js';
import { createEdit, computeLineChanges } from '../../src/rules/editor.js';
import {
  brandId,
  type BudgetId,
  type ClaimKey,
  type RequestId,
  type FundId,
  type Incarnation,
  type Offset,
} from '../../src/types/ids.js';
import type { Batch, BudgetEntry, ClaimStreamEntry } from '../../src/types/records.js';

const SEED = 11;
const RUNS = 500;
const parameters = { seed: SEED, numRuns: RUNS };
const budget = brandId<BudgetId>('b');

const holder = fc.constantFrom('r1-a', 'r2-a', 'r3-a').map((name) => brandId<Incarnation>(name));
const smallAmount = fc.nat({ max: 50 });

interface Step {
  readonly by: Incarnation;
  readonly entry: BudgetEntry;
}

/** Random steps with increasing ask numbers. Returns may exceed the tokens of a holder. */
const budgetSteps = fc
  .array(
    fc.record({ by: holder, choice: fc.nat({ max: 9 }), amount: smallAmount, other: smallAmount }),
    {
      maxLength: 60,
    },
  )
  .map((raw) => {
    let ask = 0;
    return raw.map(({ by, choice, amount, other }): Step => {
      ask += 1;
      if (choice < 2) {
        const fund = brandId<FundId>(`f${other % 3}`);
        return {
          by,
          entry: { kind: 'fund', budget, fund, tokens: amount * 4, version: brandId(ask) },
        };
      }
      if (choice < 7) {
        return { by, entry: { kind: 'ask', budget, ask, need: amount, want: amount + other } };
      }
      if (choice < 8) {
        return { by, entry: { kind: 'cancel', budget, ask: ask - 1 - (other % 3), holder: by } };
      }
      return { by, entry: { kind: 'return', budget, tokens: amount } };
    });
  });

/** A reference model of a budget: plain lists, no running totals. */
class NaiveLedger {
  readonly funds = new Map<string, number>();

  readonly transfers: { by: Incarnation; tokens: number }[] = [];

  pendingAsks: { by: Incarnation; ask: number; need: number }[] = [];

  getFunded(): number {
    return [...this.funds.values()].reduce((sum, tokens) => sum + tokens, 0);
  }

  getOutstanding(by?: Incarnation): number {
    return this.transfers
      .filter((move) => by === undefined || move.by === by)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  getAvailable(): number {
    return this.getFunded() - this.getOutstanding();
  }

  apply({ by, entry }: Step): void {
    switch (entry.kind) {
      case 'fund': {
        const lowest = (this.funds.get(entry.fund) ?? 0) - this.getAvailable();
        this.funds.set(entry.fund, Math.max(entry.tokens, lowest));
        break;
      }
      case 'ask':
        this.ask(by, entry.ask, entry.need, entry.want);
        break;
      case 'cancel':
        this.pendingAsks = this.pendingAsks.filter(
          (waiting) => waiting.by !== by || waiting.ask !== entry.ask,
        );
        break;
      case 'return':
        this.transfers.push({ by, tokens: -entry.tokens });
        break;
      default:
    }
    while (this.pendingAsks[0] && this.pendingAsks[0].need <= this.getAvailable()) {
      const { by: first, need } = this.pendingAsks.shift()!;
      this.transfers.push({ by: first, tokens: need });
    }
  }

  private ask(by: Incarnation, ask: number, need: number, want: number): void {
    this.pendingAsks = this.pendingAsks.filter((waiting) => waiting.by !== by);
    const left = this.getAvailable();
    if (this.pendingAsks.length === 0 && left >= need) {
      this.transfers.push({
        by,
        tokens: Math.max(need, Math.min(want, Math.floor(left / GRANT_SHARE_DIVISOR))),
      });
    } else if (need > 0 && need <= this.getFunded()) {
      this.pendingAsks.push({ by, ask, need });
    }
  }
}

/**
 * Applies the steps to the projection and to the reference model, and runs the check after each. Skips
 * returns of more tokens than the holder has.
 */
function compareWithLedger(
  steps: readonly Step[],
  check: (projection: BudgetProjection, naive: NaiveLedger) => void,
): void {
  const projection = new BudgetProjection();
  const naive = new NaiveLedger();
  steps.forEach((step, index) => {
    if (step.entry.kind === 'return' && step.entry.tokens > naive.getOutstanding(step.by)) {
      return;
    }
    projection.apply(step.entry, { offset: brandId<Offset>(index), incarnation: step.by });
    naive.apply(step);
    check(projection, naive);
  });
}

test('the budget projection matches a reference model and never grants more than is funded', () => {
  fc.assert(
    fc.property(budgetSteps, (steps) => {
      compareWithLedger(steps, (projection, naive) => {
        const account = projection.accounts.get(budget)!;
        expect(account.funded).toEqual(naive.getFunded());
        expect(account.outstanding).toEqual(naive.getOutstanding());
        expect(account.outstanding <= account.funded).toEqual(true);
        expect(account.pending.map(({ ask }) => ask)).toEqual(
          naive.pendingAsks.map(({ ask }) => ask),
        );
        account.holders.forEach(({ granted, returned }, by) => {
          expect(granted - returned).toEqual(naive.getOutstanding(by));
        });
      });
    }),
    parameters,
  );
});

test('a projection restored from a checkpoint continues like the original', () => {
  fc.assert(
    fc.property(
      budgetSteps,
      fc.nat(60),
      fc.integer({ min: 16, max: 400 }),
      (steps, at, partBytes) => {
        const original = new BudgetProjection();
        const restored = new BudgetProjection();
        steps.forEach(({ by, entry }, index) => {
          const context = { offset: brandId<Offset>(index), incarnation: by };
          if (index === at) {
            restored.load(roundTripCheckpoint(original.save(), partBytes));
          }
          original.apply(entry, context);
          if (index >= at) {
            restored.apply(entry, context);
          }
        });
        if (at < steps.length) {
          expect(restored.save()).toEqual(original.save());
        }
      },
    ),
    parameters,
  );
});

function roundTripCheckpoint(state: unknown, partBytes: number): unknown {
  const entries = createCheckpointEntries({
    asOf: brandId<Offset>(0),
    state,
    duplicates: [],
    partBytes,
  });
  const assembler = new CheckpointAssembler();
  const data = entries.map((part) => assembler.add(brandId('w'), part)).at(-1);
  return decodeCheckpoint(data!).state;
}

test('duplicate and late records do not change the state', () => {
  fc.assert(
    fc.property(budgetSteps, fc.array(fc.nat(99), { maxLength: 30 }), (steps, repeats) => {
      const batches = steps.map(({ by, entry }, index): Batch => ({
        incarnation: by,
        sequence: index + 1,
        entries: [entry],
      }));
      const repeatedBatches = [...batches];
      repeats.forEach((pick, index) => {
        const batch = batches[pick % Math.max(1, batches.length)];
        if (batch) {
          const earliest = repeatedBatches.indexOf(batch) + 1;
          repeatedBatches.splice(
            earliest + (index % (repeatedBatches.length - earliest + 1)),
            0,
            batch,
          );
        }
      });
      expect(applyBatches(repeatedBatches).save()).toEqual(applyBatches(batches).save());
    }),
    parameters,
  );
});

function applyBatches(batches: readonly Batch[]): BudgetProjection {
  const projection = new BudgetProjection();
  const filter = new DuplicateFilter();
  batches
    .filter((batch) => filter.accept(batch))
    .forEach(({ incarnation, entries }) => {
      entries.forEach((entry) =>
        projection.apply(entry, { offset: brandId<Offset>(0), incarnation }),
      );
    });
  return projection;
}

const claimEntry = fc
  .record({
    key: fc.constantFrom('k1', 'k2'),
    kind: fc.constantFrom('claim', 'release', 'outcome'),
  })
  .map(({ key, kind }): ClaimStreamEntry => {
    const base = { key: brandId<ClaimKey>(key), request: brandId<RequestId>(key) };
    switch (kind) {
      case 'claim':
        return { ...base, kind, digest: 'd' };
      case 'release':
        return { ...base, kind };
      default:
        return {
          ...base,
          kind: 'outcome',
          status: 201,
          contentType: 't',
          kept: true,
          body: new Uint8Array([1]),
        };
    }
  });

test('the first holder of a claim keeps it until it releases the claim', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ by: holder, entry: claimEntry }), { maxLength: 40 }),
      (steps) => {
        const projection = new ClaimProjection();
        const owners = new Map<string, Incarnation>();
        steps.forEach(({ by, entry }) => {
          projection.apply(entry, { offset: brandId<Offset>(0), incarnation: by });
          if (entry.kind === 'claim' && !owners.has(entry.key)) {
            owners.set(entry.key, by);
          } else if (entry.kind === 'release' && owners.get(entry.key) === by) {
            owners.delete(entry.key);
          }
          projection.claims.forEach((claim, key) => expect(claim.holder).toEqual(owners.get(key)!));
          expect(projection.claims.size).toEqual(owners.size);
        });
      },
    ),
    parameters,
  );
});

test('the claim projection evicts only the oldest completed claims', () => {
  const projection = new ClaimProjection(2);
  const context = { offset: brandId<Offset>(0), incarnation: brandId<Incarnation>('r1-a') };
  ['open', 'a', 'b', 'c'].forEach((name) => {
    const base = { key: brandId<ClaimKey>(name), request: brandId<RequestId>(name) };
    projection.apply({ ...base, kind: 'claim', digest: 'd' }, context);
    if (name !== 'open') {
      projection.apply(
        {
          ...base,
          kind: 'outcome',
          status: 200,
          contentType: '',
          kept: false,
          body: new Uint8Array(),
        },
        context,
      );
    }
  });
  expect([...projection.claims.keys()].map(String)).toEqual(['open', 'c']);
});

test('only the first bill of a request counts', () => {
  const projection = new BillProjection();
  [5, 7].forEach((completionTokens, index) => {
    projection.apply(
      {
        kind: 'bill',
        request: brandId('w/1'),
        workspace: brandId('w'),
        budget,
        promptTokens: 1,
        completionTokens,
        outcome: 'whole',
      },
      { offset: brandId<Offset>(index), incarnation: brandId('r1-a') },
    );
  });
  expect(projection.bills.get(brandId('w/1'))?.entry.completionTokens).toEqual(5);
  expect(projection.duplicates).toHaveLength(1);
});

const text = fc.array(fc.constantFrom('a', 'b', 'c', 'd', ''), { maxLength: 12 });

test('applying the computed line changes to a text yields the other text', () => {
  fc.assert(
    fc.property(text, text, (before, after) => {
      expect(applyLineChanges(before, computeLineChanges(before, after))).toEqual(after);
    }),
    parameters,
  );
});

test('the first of several edits of one base wins, whatever the order of duplicates', () => {
  fc.assert(
    fc.property(
      fc.array(text, { minLength: 1, maxLength: 6 }),
      fc.array(fc.nat(5), { maxLength: 12 }),
      (texts, order) => {
        const projection = new RulesProjection();
        const edits = texts.map((after, index) =>
          createEdit({
            base: brandId(0),
            before: [],
            after: [...after, String(index)],
            author: 'a',
          }),
        );
        [0, ...order].forEach((pick) => projection.apply(edits[pick % edits.length]!));
        expect(Number(projection.version)).toEqual(1);
        expect(getRulesDigest(projection.lines)).toEqual(edits[0]!.digest);
      },
    ),
    parameters,
  );
});

test('decoding an encoded batch yields the same batch', () => {
  fc.assert(
    fc.property(budgetSteps, (steps) => {
      const batch = {
        incarnation: brandId<Incarnation>('r1-a'),
        sequence: 3,
        entries: steps.map(({ entry }) => entry),
      };
      expect(decodeBatch(encodeBatch(batch))).toEqual(batch);
    }),
    parameters,
  );
  expect(decodeBatch(new Uint8Array([1, 2, 3]))).toEqual(undefined);
});
