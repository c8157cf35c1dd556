/** Measures the cost of the control plane by fleet size, with all routers in one process on virtual time. */
import { Simulation } from '../tests/support/simulation.js';
import {
  createRouterFitTable,
  getMonotonicMs,
  measureCpuUs,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const FLEET_SIZES = [6, 15, 30, 60];
const IDLE_MS = 10_000;
const EDITS = 5;

/** Counts the records and bytes appended during a period of virtual time. */
async function measureAppends(simulation: Simulation, durationMs: number) {
  const before = { ...simulation.appended };
  await simulation.advance(durationMs);
  const { records, bytes } = simulation.appended;
  return { records: records - before.records, bytes: bytes - before.bytes };
}

/** Returns the time until an edit of the rules was in force on all routers, in virtual milliseconds. */
async function measureEditPropagation(simulation: Simulation, editNumber: number): Promise<number> {
  simulation.topUp(`edit-${editNumber}`, 1);
  const { version } = simulation.getRules();
  const startedAt = simulation.timers.now();
  const isInForceEverywhere = () =>
    simulation.routers.every(({ router }) => router.rules.getVersion() >= version);
  while (!isInForceEverywhere()) {
    await simulation.advance(1);
  }
  return simulation.timers.now() - startedAt;
}

async function measureFleet(routers: number): Promise<Row> {
  const simulation = new Simulation({ routers, tokens: 10_000_000 });
  await simulation.advance(5_000);
  let idle = { records: 0, bytes: 0 };
  const cpuUs = await measureCpuUs(async () => {
    idle = await measureAppends(simulation, IDLE_MS);
  }, 1);
  const propagationMs: number[] = [];
  for (let editNumber = 0; editNumber < EDITS; editNumber += 1) {
    propagationMs.push(await measureEditPropagation(simulation, editNumber));
    await simulation.advance(1_000);
  }
  const startedAt = getMonotonicMs();
  const responses = Array.from({ length: routers * 10 }, (_, index) =>
    simulation.chat(index % routers, `load-${index}`, `prompt ${index}`, 20),
  );
  const load = await measureAppends(simulation, IDLE_MS);
  return {
    routers,
    'control us/router/s': round(cpuUs / routers / (IDLE_MS / 1_000)),
    'appends/s at rest': round(idle.records / (IDLE_MS / 1_000)),
    'edit everywhere ms, worst': Math.max(...propagationMs),
    requests: responses.length,
    whole: responses.filter((response) => response.isComplete()).length,
    'appends/request': round(load.records / responses.length),
    'bytes/request': round(load.bytes / responses.length),
    'wall ms for the load': Math.round(getMonotonicMs() - startedAt),
  };
}

async function run(): Promise<readonly Table[]> {
  const rows: Row[] = [];
  for (const routers of FLEET_SIZES) {
    rows.push(await measureFleet(routers));
  }
  return [
    { title: 'Control plane by routers (tasks in one process, virtual time)', rows },
    createRouterFitTable(
      'Control time of one router against the number of routers',
      rows,
      'control us/router/s',
      'us/s',
    ),
  ];
}

export const fleetBench: Bench = {
  name: 'fleet',
  question:
    'How do control time, appends and the spread of an edit grow with the number of routers?',
  run,
};
