/** Measures idle fleets of real router processes: control time, memory and the propagation of an edit. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { startFleet, waitUntilReady, type Fleet } from '../launch/fleet.js';
import {
  applyRules,
  createRouterFitTable,
  sleep,
  getMedian,
  getMonotonicMs,
  getProcessCpuSeconds,
  getResidentMegabytes,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const FLEET_SIZES = [6, 15, 30, 60];
const IDLE_MS = 10_000;
const EDITS = 5;

async function getRulesVersion(url: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  return Number(/shallotrock_rules_version (\d+)/.exec(text)?.[1] ?? 0);
}

/** Publishes an edit and returns the time until every router reported it in force, in milliseconds. */
async function measureEditPropagation(fleet: Fleet, editNumber: number): Promise<number> {
  const file = join(fleet.folder, 'edited.rules');
  const addedLines = Array.from(
    { length: editNumber },
    (_, index) => `budget bench-${index} workspace=yard # bench`,
  );
  writeFileSync(file, `${readFileSync(fleet.rulesFile, 'utf8')}${addedLines.join('\n')}\n`);
  const startedAt = getMonotonicMs();
  await applyRules(fleet, file);
  const isInForce = async () => {
    const versions = await Promise.all(fleet.routerUrls.map(getRulesVersion));
    return versions.every((version) => version >= editNumber + 1);
  };
  while (!(await isInForce())) {
    await sleep(5);
  }
  return getMonotonicMs() - startedAt;
}

async function measureFleet(routers: number): Promise<Row> {
  const fleet = await startFleet({
    routers,
    engines: 2,
    services: 1,
    settings: {
      logging: { level: 'error' },
      peers: { probeIntervalMs: 1_000 },
      vms: { pollMs: 2_000 },
    },
  });
  await applyRules(fleet);
  await Promise.all(fleet.routerUrls.map((url) => waitUntilReady(url, 60_000)));
  await sleep(5_000);
  const pids = fleet.routers.map(({ child }) => child.pid!);
  const cpuSecondsBefore = pids.map(getProcessCpuSeconds);
  const startedAt = getMonotonicMs();
  await sleep(IDLE_MS);
  const seconds = (getMonotonicMs() - startedAt) / 1_000;
  const cpuPercentages = pids.map(
    (pid, index) => (100 * (getProcessCpuSeconds(pid) - cpuSecondsBefore[index]!)) / seconds,
  );
  const propagationMs: number[] = [];
  for (let editNumber = 1; editNumber <= EDITS; editNumber += 1) {
    propagationMs.push(await measureEditPropagation(fleet, editNumber));
  }
  const megabytes = pids.map(getResidentMegabytes);
  await fleet.stop();
  return {
    routers,
    'core %, median': round(getMedian(cpuPercentages)),
    'core %, most': round(Math.max(...cpuPercentages)),
    'resident MB, median': round(getMedian(megabytes)),
    'edit seen everywhere ms, median': round(getMedian(propagationMs)),
    worst: round(Math.max(...propagationMs)),
  };
}

async function run(): Promise<readonly Table[]> {
  const rows: Row[] = [];
  for (const routers of FLEET_SIZES) {
    rows.push(await measureFleet(routers));
  }
  return [
    { title: 'Router processes at rest, default settings', rows },
    createRouterFitTable(
      'Control time against the number of routers',
      rows,
      'core %, median',
      'core %',
    ),
  ];
}

export const processesBench: Bench = {
  name: 'processes',
  question: 'What does a router process cost at rest, and how fast does an edit reach all of them?',
  run,
};
