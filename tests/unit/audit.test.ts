import { test } from 'node:test';
import { expect } from 'earl';
import { auditBudgetStream } from '../../src/audit/auditBudgets.js';
import { auditLog, type LogDump } from '../../src/audit/auditLog.js';
import { createCheckpointEntries } from '../../src/log/checkpoint.js';
import type { StreamDump } from '../../src/log/streamDump.js';
import { brandId, type BudgetId } from '../../src/types/ids.js';
import type { BillEntry, Entry } from '../../src/types/records.js';

const budget = brandId<BudgetId>('b');

function createDump(name: string, batches: readonly [string, Entry[]][]): StreamDump {
  const sequences = new Map<string, number>();
  return {
    stream: brandId(name),
    first: brandId(0),
    undecodableOffsets: [],
    batches: batches.map(([incarnation, entries], offset) => {
      const sequence = (sequences.get(incarnation) ?? 0) + 1;
      sequences.set(incarnation, sequence);
      return {
        offset: brandId(offset),
        batch: { incarnation: brandId(incarnation), sequence, entries },
      };
    }),
  };
}

function createBill(request: string, tokens: number): BillEntry {
  return {
    kind: 'bill',
    request: brandId(request),
    workspace: brandId('w'),
    budget,
    promptTokens: 0,
    completionTokens: tokens,
    outcome: 'whole',
  };
}

const claim = (key: string): Entry => ({
  kind: 'claim',
  key: brandId(key),
  request: brandId(key),
  digest: 'd',
});
const outcome = (key: string): Entry => ({
  kind: 'outcome',
  key: brandId(key),
  request: brandId(key),
  status: 201,
  contentType: '',
  kept: false,
  body: new Uint8Array(),
});
const report = (spent: number): Entry => ({
  kind: 'report',
  budget,
  spent,
  sent: 0,
  received: 0,
  held: 0,
});

const clean: LogDump = {
  rules: createDump('rules', []),
  budgets: [
    createDump('budgets-0', [
      ['r1', [{ kind: 'fund', budget, fund: brandId('f'), tokens: 100, version: brandId(1) }]],
      ['r1', [{ kind: 'ask', budget, ask: 1, need: 40, want: 40 }]],
      ['r1', [report(30)]],
    ]),
  ],
  claims: createDump('claims-0', [
    ['r1', [claim('o1')]],
    ['r2', [claim('o1')]],
    ['r1', [outcome('o1')]],
  ]),
  bills: createDump('bills', [['r1', [createBill('w/1', 30)]]]),
};

function getViolatedGuarantees(dump: LogDump): string[] {
  return auditLog(dump)
    .promises.filter(({ held }) => !held)
    .map(({ promise }) => promise);
}

test('a valid log has no findings', () => {
  expect(auditLog(clean).findings).toEqual([]);
});

test('two bills of one request by the same router violate a guarantee', () => {
  const bills = createDump('bills', [
    ['r1', [createBill('w/1', 5)]],
    ['r1', [createBill('w/1', 5)]],
  ]);
  expect(getViolatedGuarantees({ ...clean, bills })).toEqual(['billedOnce']);
});

test('a second bill of a request by another router is a note', () => {
  const bills = createDump('bills', [
    ['r1', [createBill('w/1', 5)]],
    ['r2', [createBill('w/1', 5)]],
  ]);
  const { findings } = auditLog({ ...clean, bills });
  expect(findings.map(({ severity }) => severity)).toEqual(['note']);
});

test('spending more tokens than granted violates a guarantee', () => {
  const budgets = [
    createDump('budgets-0', [...getBatches(clean.budgets[0]!), ['r1', [report(41)]]]),
  ];
  expect(getViolatedGuarantees({ ...clean, budgets })).toEqual(['noOverspend']);
});

test('billing more tokens than the router obtained violates a guarantee', () => {
  const bills = createDump('bills', [['r1', [createBill('w/1', 41)]]]);
  expect(getViolatedGuarantees({ ...clean, bills })).toEqual(['noOverspend']);
});

test('running an order at two routers violates a guarantee', () => {
  const claims = createDump('claims-0', [...getBatches(clean.claims), ['r2', [outcome('o1')]]]);
  expect(getViolatedGuarantees({ ...clean, claims })).toEqual(['runAtMostOnce']);
});

test('running an order without holding its claim violates a guarantee', () => {
  const claims = createDump('claims-0', [
    ['r1', [claim('o1')]],
    ['r2', [outcome('o1')]],
  ]);
  expect(getViolatedGuarantees({ ...clean, claims })).toEqual(['runAtMostOnce']);
});

test('the report lists a stream whose oldest records were trimmed', () => {
  const bills = { ...clean.bills, first: brandId<StreamDump['first']>(7) };
  expect(auditLog({ ...clean, bills }).partial).toEqual(['bills']);
});

function getBatches(dump: StreamDump): [string, Entry[]][] {
  return dump.batches.map(({ batch }) => [batch.incarnation, [...batch.entries]]);
}

test('a trimmed stream is audited from its checkpoint, and not audited without one', () => {
  const [before, after] = [getBatches(clean.budgets[0]!).slice(0, 2), [['r1', [report(41)]]]];
  const { projection } = auditBudgetStream(createDump('budgets-0', before));
  const checkpoint = createCheckpointEntries({
    asOf: brandId(2),
    state: projection.save(),
    duplicates: [],
  });
  const untrimmed = createDump('budgets-0', [...before, ['w', checkpoint], ...after] as never);
  const trimmed = {
    ...untrimmed,
    first: brandId<StreamDump['first']>(2),
    batches: untrimmed.batches.slice(2),
  };
  expect(getViolatedGuarantees({ ...clean, budgets: [trimmed] })).toEqual(['noOverspend']);
  const unproven = { ...trimmed, batches: trimmed.batches.slice(1) };
  expect(getViolatedGuarantees({ ...clean, budgets: [unproven] })).toEqual([]);
  expect(auditLog({ ...clean, budgets: [unproven] }).findings[0]?.severity).toEqual('note');
});
