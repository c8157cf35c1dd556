/** Measures the processor time until a new reader is ready, by the age of its stream, with and without checkpoints. */
import { BudgetProjection } from '../src/projections/budgetProjection.js';
import { createCheckpointEntries } from '../src/log/checkpoint.js';
import { encodeBatch } from '../src/log/codec.js';
import { StreamReader } from '../src/log/streamReader.js';
import { VirtualTimers } from '../src/core/timers.js';
import {
  brandId,
  type BudgetId,
  type FundId,
  type Incarnation,
  type Offset,
  type RulesVersion,
  type StreamName,
} from '../src/types/ids.js';
import { FakeLog, FakeLogServer } from '../tests/support/fakeLog.js';
import { PausableTimers } from '../tests/support/pausableTimers.js';
import { fitLine, measureCpuUs, round, type Bench, type Row, type Table } from './support.js';

const STREAM = brandId<StreamName>('budgets-0');
const RECORD_COUNTS = [2_000, 8_000, 32_000, 64_000];
const BUDGET_COUNT = 270;
const HOLDER_COUNT = 12;
/** Records that the log retains; a checkpoint is appended after every quarter of them. */
const RETAINED_RECORDS = 2_000;

function fillLog(server: FakeLogServer, records: number, hasCheckpoints: boolean): void {
  const projection = new BudgetProjection();
  for (let index = 0; index < records; index += 1) {
    const incarnation = brandId<Incarnation>(`router-${index % HOLDER_COUNT}-0a1b2c3d`);
    const budget = brandId<BudgetId>(`budget-${index % BUDGET_COUNT}`);
    const entries = [
      {
        kind: 'fund',
        budget,
        fund: brandId<FundId>('f'),
        tokens: 1e9,
        version: brandId<RulesVersion>(1),
      } as const,
      { kind: 'ask', budget, ask: index + 1, need: 0, want: 5 } as const,
    ];
    const offset = server.append(
      STREAM,
      encodeBatch({ incarnation, sequence: index + 1, entries }),
    );
    entries.forEach((entry) => projection.apply(entry, { offset, incarnation }));
    if (hasCheckpoints && index % (RETAINED_RECORDS / 4) === 0) {
      const asOf = (offset + 1) as Offset;
      const checkpointEntries = createCheckpointEntries({
        asOf,
        state: projection.save(),
        duplicates: [],
      });
      const writer = brandId<Incarnation>(`w-${index}`);
      server.append(
        STREAM,
        encodeBatch({ incarnation: writer, sequence: 1, entries: checkpointEntries }),
      );
    }
  }
  if (hasCheckpoints) {
    server.trimToLast(STREAM, RETAINED_RECORDS);
  }
}

async function measureStart(records: number, hasCheckpoints: boolean): Promise<Row> {
  const timers = new VirtualTimers();
  const server = new FakeLogServer(timers);
  fillLog(server, records, hasCheckpoints);
  let isReady = false;
  const cpuUs = await measureCpuUs(async () => {
    const process = new PausableTimers(timers);
    const log = new FakeLog(server, process);
    const createProjection = () => new BudgetProjection();
    const reader = new StreamReader<BudgetProjection>({
      log,
      timers: process,
      stream: STREAM,
      createProjection,
    });
    reader.start();
    await timers.advance(2_000);
    isReady = reader.isReady();
    reader.stop();
  });
  return {
    'records written': records,
    checkpoints: hasCheckpoints ? 'yes' : 'no',
    'records read': hasCheckpoints ? Math.min(records, RETAINED_RECORDS) : records,
    ready: String(isReady),
    'cpu ms to ready': round(cpuUs / 1_000),
  };
}

async function run(): Promise<readonly Table[]> {
  const rows: Row[] = [];
  for (const hasCheckpoints of [false, true]) {
    for (const records of RECORD_COUNTS) {
      rows.push(await measureStart(records, hasCheckpoints));
    }
  }
  const fits = ['no', 'yes'].map((checkpoints): Row => {
    const points = rows
      .filter((row) => row.checkpoints === checkpoints)
      .map((row): [number, number] => [
        Number(row['records written']),
        Number(row['cpu ms to ready']),
      ]);
    const fit = fitLine(points);
    return {
      checkpoints,
      'us a record written': round(fit.slope * 1_000),
      'ms at 0': round(fit.intercept),
      r2: round(fit.r2),
    };
  });
  return [
    { title: 'Start of a reader', rows },
    { title: 'Slopes', rows: fits },
  ];
}

export const startBench: Bench = {
  name: 'start',
  question: 'How does the start of a process grow with the age of the log?',
  run,
};
