/** Measures processor time, bytes and memory over several sizes and fits their slopes, for docs/CAPACITY.md. */
import { encode } from '@msgpack/msgpack';
import { BudgetProjection } from '../src/projections/budgetProjection.js';
import { BillProjection } from '../src/projections/billProjection.js';
import { ClaimProjection } from '../src/projections/claimProjection.js';
import type { Projection } from '../src/projections/projection.js';
import { RulesProjection } from '../src/projections/rulesProjection.js';
import { createCheckpointEntries } from '../src/log/checkpoint.js';
import { decodeBatch, encodeBatch } from '../src/log/codec.js';
import { getSignature, isSignatureValid } from '../src/peers/peerRpc.js';
import { Endpoint } from '../src/routing/endpoint.js';
import { checkRules } from '../src/rules/checker.js';
import { IncrementalChecker } from '../src/rules/incrementalChecker.js';
import { createEdit } from '../src/rules/editor.js';
import { brandId, type BudgetId, type Offset, type RulesVersion } from '../src/types/ids.js';
import type { Vm } from '../src/types/platform.js';
import { EndpointController } from '../src/controllers/endpointController.js';
import { SuspectController } from '../src/controllers/suspectController.js';
import { VirtualTimers } from '../src/core/timers.js';
import type { Batch, Entry } from '../src/types/records.js';
import {
  fitLine,
  getHeapBytes,
  measureCpuUs,
  round,
  type Bench,
  type LinearFit,
  type Row,
  type Table,
} from './support.js';

const SIZES = [2_000, 5_000, 10_000, 20_000, 40_000];
const ENTRIES_PER_BATCH = 8;
const HOLDER_COUNT = 12;

function createRow(what: string, unit: string, fit: LinearFit): Row {
  return {
    what,
    slope: round(fit.slope),
    unit,
    'at size 0': round(fit.intercept),
    r2: round(fit.r2),
  };
}

const incarnations = Array.from({ length: HOLDER_COUNT }, (_, index) => `router-${index}-0a1b2c3d`);
const getBudget = (index: number) => brandId<BudgetId>(`budget-${index % 270}`);

function createEntry(kind: string, index: number): Entry {
  const budget = getBudget(index);
  const key = `workspace-${index % 500}/request-${index}`;
  switch (kind) {
    case 'ask':
      return { kind, budget, ask: index + 1, need: 0, want: 5 };
    case 'return':
      return { kind, budget, tokens: 1 };
    case 'report':
      return { kind, budget, spent: index, sent: 0, received: 0, held: 0 };
    case 'claim':
      return { kind, key: brandId(key), request: brandId(key), digest: 'd'.repeat(64) };
    default:
      return {
        kind: 'bill',
        request: brandId(key),
        workspace: brandId(`workspace-${index % 500}`),
        budget,
        promptTokens: 300,
        completionTokens: 340,
        outcome: 'whole',
      };
  }
}

function createRecords(kind: string, count: number): Uint8Array[] {
  const records: Uint8Array[] = [];
  for (let start = 0; start < count; start += ENTRIES_PER_BATCH) {
    const entries = Array.from({ length: ENTRIES_PER_BATCH }, (_, at) =>
      createEntry(kind, start + at),
    );
    const incarnation = incarnations[(start / ENTRIES_PER_BATCH) % HOLDER_COUNT]!;
    records.push(encodeBatch({ incarnation: brandId(incarnation), sequence: start + 1, entries }));
  }
  return records;
}

function applyRecords(projection: Projection, records: readonly Uint8Array[]): void {
  records.forEach((data, offset) => {
    const { incarnation, entries } = decodeBatch(data) as Batch;
    entries.forEach((entry) =>
      projection.apply(entry, { offset: brandId<Offset>(offset), incarnation }),
    );
  });
}

function createFundedProjection(): BudgetProjection {
  const projection = new BudgetProjection();
  Array.from({ length: 270 }, (_, index) => {
    const entry: Entry = {
      kind: 'fund',
      budget: getBudget(index),
      fund: brandId('f'),
      tokens: 1e9,
      version: brandId(1),
    };
    projection.apply(entry, { offset: brandId<Offset>(0), incarnation: brandId('r') });
  });
  return projection;
}

async function measureProjections(): Promise<Row[]> {
  const projections: [string, () => Projection][] = [
    ['ask', createFundedProjection],
    ['return', createFundedProjection],
    ['report', createFundedProjection],
    ['claim', () => new ClaimProjection()],
    ['bill', () => new BillProjection()],
  ];
  const rows: Row[] = [];
  for (const [kind, createProjection] of projections) {
    const cpuPoints: [number, number][] = [];
    const bytePoints: [number, number][] = [];
    for (const size of SIZES) {
      const records = createRecords(kind, size);
      cpuPoints.push([size, await measureCpuUs(() => applyRecords(createProjection(), records))]);
      bytePoints.push([size, records.reduce((sum, { length }) => sum + length, 0)]);
    }
    rows.push(createRow(`decode and fold one ${kind}`, 'us', fitLine(cpuPoints)));
    rows.push(
      createRow(`one ${kind} in a batch of ${ENTRIES_PER_BATCH}`, 'bytes', fitLine(bytePoints)),
    );
  }
  return rows;
}

/** Keeps measured objects reachable, so that the garbage collector does not free them. */
const retainedObjects: unknown[] = [];

function measureHeap(sizes: readonly number[], create: (size: number) => unknown): LinearFit {
  const points = sizes.map((size): [number, number] => {
    retainedObjects.length = 0;
    const before = getHeapBytes();
    retainedObjects.push(create(size));
    return [size, getHeapBytes() - before];
  });
  retainedObjects.length = 0;
  return fitLine(points);
}

function createAccounts(size: number): BudgetProjection {
  const projection = new BudgetProjection();
  for (let index = 0; index < size; index += 1) {
    const budget = brandId<BudgetId>(`budget-${index}`);
    projection.apply(
      { kind: 'fund', budget, fund: brandId('opening'), tokens: 1e9, version: brandId(1) },
      { offset: brandId<Offset>(0), incarnation: brandId('r') },
    );
    incarnations.forEach((incarnation) => {
      const context = {
        offset: brandId<Offset>(0),
        incarnation: brandId<Batch['incarnation']>(incarnation),
      };
      projection.apply({ kind: 'ask', budget, ask: 1, need: 5, want: 5 }, context);
    });
  }
  return projection;
}

function createClaims(size: number): ClaimProjection {
  const projection = new ClaimProjection();
  applyRecords(projection, createRecords('claim', size));
  return projection;
}

function createEndpoint(index: number): Endpoint {
  return new Endpoint({
    vm: brandId(`engine-${index}`),
    url: `http://10.0.0.${index}:8000`,
    service: brandId('assistant'),
    availabilityZone: brandId('zone'),
    slots: 16,
    fencing: false,
  });
}

function createIncrementalChecker(budgets: number): IncrementalChecker {
  const index = new IncrementalChecker();
  index.update(createRulesLines(budgets));
  return index;
}

function createVms(count: number): Vm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: brandId(`engine-${index}`),
    host: `10.0.${Math.floor(index / 256)}.${index % 256}`,
    port: 8_000,
    availabilityZone: brandId('zone'),
    state: 'live',
  }));
}

async function measureVmList(): Promise<Row[]> {
  const cpuPoints: [number, number][] = [];
  const bytePoints: [number, number][] = [];
  for (const size of [500, 1_000, 2_000, 4_000]) {
    const endpoints = new EndpointController({
      timers: new VirtualTimers(),
      vm: brandId('router-1'),
      suspects: new SuspectController(),
    });
    const rules = checkRules(createRulesLines(1)).unwrap();
    endpoints.setRules([...rules.endpoints.values()]);
    const vms = createVms(size);
    cpuPoints.push([size, await measureCpuUs(() => endpoints.setVms(vms), 5)]);
    bytePoints.push([size, Buffer.byteLength(JSON.stringify({ vms }))]);
  }
  return [
    createRow('take over a vm list', 'us a vm', fitLine(cpuPoints)),
    createRow('a vm list', 'bytes a vm', fitLine(bytePoints)),
  ];
}

function measureMemory(): Row[] {
  const sizes = [500, 1_000, 2_000, 4_000];
  const endpoints = (size: number) =>
    Array.from({ length: size }, (_, index) => createEndpoint(index));
  return [
    createRow(
      `a budget's account with ${HOLDER_COUNT} holders`,
      'bytes of memory',
      measureHeap(sizes, createAccounts),
    ),
    createRow(
      'a claim without its answer',
      'bytes of memory',
      measureHeap(
        sizes.map((size) => size * 8),
        createClaims,
      ),
    ),
    createRow(
      'the rules and their index',
      'bytes of memory a budget',
      measureHeap(sizes, createIncrementalChecker),
    ),
    createRow('an endpoint in use', 'bytes of memory', measureHeap(sizes, endpoints)),
  ];
}

/** Creates rules in the proportions of the target, which is 13,000 budgets, each with a fund and an allow. */
function createRulesLines(budgets: number): string[] {
  const lines = [
    'service chat type=engine models=a,b,c # ops',
    'endpoint engine-* service=chat # ops',
  ];
  for (let index = 0; index < budgets; index += 1) {
    const workspace = index % 590;
    lines.push(`budget b${index} workspace=w${workspace} horizon=30s # ops`);
    lines.push(`fund opening budget=b${index} tokens=1000000 # ops`);
    lines.push(
      `key k${index} workspace=w${workspace} sha256=${String(index).padStart(64, '0')} # ops`,
    );
    lines.push(`allow k${index} budget=b${index} service=chat # ops`);
  }
  return lines;
}

async function measureRules(): Promise<Row[]> {
  const ruleCheckPoints: [number, number][] = [];
  const updatePoints: [number, number][] = [];
  const applyPoints: [number, number][] = [];
  const editBytes: [number, number][] = [];
  const fileBytes: [number, number][] = [];
  for (const budgets of [1_000, 2_500, 5_000, 10_000]) {
    const before = createRulesLines(budgets);
    const after = [...before, 'fund more budget=b7 tokens=5 # ops'];
    const base = 0 as RulesVersion;
    const edit = createEdit({ base, before, after, author: 'ops' });
    checkRules(before);
    ruleCheckPoints.push([budgets, await measureCpuUs(() => void checkRules(after), 5)]);
    const index = new IncrementalChecker();
    index.update(before);
    const updateBoth = () => {
      index.update(after);
      index.update(before);
    };
    updatePoints.push([budgets, (await measureCpuUs(updateBoth, 5)) / 2]);
    const apply = () => {
      const rules = new RulesProjection();
      rules.lines = before;
      rules.apply(edit);
    };
    applyPoints.push([budgets, await measureCpuUs(apply, 5)]);
    editBytes.push([
      budgets,
      encodeBatch({ incarnation: brandId('e'), sequence: 1, entries: [edit] }).length,
    ]);
    fileBytes.push([budgets, Buffer.byteLength(after.join('\n'))]);
  }
  return [
    createRow('check the whole rules', 'us a budget', fitLine(ruleCheckPoints)),
    createRow('bring the rules up to date with one edit', 'us a budget', fitLine(updatePoints)),
    createRow('fold one edit', 'us a budget', fitLine(applyPoints)),
    createRow('one edit of a line', 'bytes a budget', fitLine(editBytes)),
    createRow('the whole file', 'bytes a budget', fitLine(fileBytes)),
  ];
}

async function measureCheckpoints(): Promise<Row[]> {
  const savePoints: [number, number][] = [];
  const bytePoints: [number, number][] = [];
  const loadPoints: [number, number][] = [];
  for (const size of [250, 500, 1_000, 2_000]) {
    const projection = createAccounts(size);
    const asOf = brandId<Offset>(0);
    const create = () =>
      createCheckpointEntries({ asOf, state: projection.save(), duplicates: [] });
    savePoints.push([size, await measureCpuUs(() => void create())]);
    bytePoints.push([size, create().reduce((sum, { data }) => sum + data.length, 0)]);
    const saved = projection.save();
    loadPoints.push([size, await measureCpuUs(() => new BudgetProjection().load(saved))]);
  }
  return [
    createRow('save a checkpoint', 'us a budget', fitLine(savePoints)),
    createRow('a checkpoint', 'bytes a budget', fitLine(bytePoints)),
    createRow('load a checkpoint', 'us a budget', fitLine(loadPoints)),
  ];
}

async function measurePeers(): Promise<Row[]> {
  const key = 'a-shared-key-of-a-bench';
  const createProbe = (suspects: number) =>
    JSON.stringify({
      jsonrpc: '2.0',
      id: 12_345,
      method: 'peer.probe',
      params: {
        vm: 'router-123',
        rulesVersion: 123_456,
        leaving: [],
        suspects: Array.from({ length: suspects }, () => ({ digest: 'd'.repeat(64), deaths: 1 })),
      },
    });
  const bytePoints: [number, number][] = [];
  const cpuPoints: [number, number][] = [];
  for (const suspects of [0, 5, 10, 20]) {
    const body = createProbe(suspects);
    bytePoints.push([suspects, body.length]);
    const repeat = () => {
      for (let index = 0; index < 2_000; index += 1) {
        isSignatureValid(key, body, getSignature(key, body));
        JSON.parse(body);
      }
    };
    cpuPoints.push([suspects, (await measureCpuUs(repeat)) / 2_000]);
  }
  return [
    createRow('a probe message, body only', 'bytes a suspect', fitLine(bytePoints)),
    createRow('sign, check and parse a probe', 'us a suspect', fitLine(cpuPoints)),
    {
      what: 'a batch of no entries',
      slope: encode(['router-123-0a1b2c3d', 1, []]).length,
      unit: 'bytes',
      'at size 0': 0,
      r2: 1,
    },
  ];
}

async function run(): Promise<readonly Table[]> {
  return [
    { title: 'Log records', rows: await measureProjections() },
    { title: 'Rules', rows: await measureRules() },
    { title: 'Checkpoints', rows: await measureCheckpoints() },
    { title: 'The vm list', rows: await measureVmList() },
    { title: 'Peer messages', rows: await measurePeers() },
    { title: 'Memory', rows: measureMemory() },
  ];
}

export const slopesBench: Bench = {
  name: 'slopes',
  question: 'What do one record, edit, checkpoint, probe and unit of state cost?',
  run,
};
