/** Starts a small fleet of separate processes on loopback, for `npm start`, process tests and benchmarks. */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { getSha256 } from '../src/core/utilities.js';
import { startProcess, stopProcess, type StartedProcess } from './processes.js';

export interface FleetOptions {
  /** Default 3. */
  readonly routers?: number;
  /** Default 4. */
  readonly engines?: number;
  /** Default 2. */
  readonly services?: number;
  /** Whether the processes write to this process's standard error. Default false. */
  readonly isStderrInherited?: boolean;
  readonly engineArgs?: readonly string[];
  readonly logArgs?: readonly string[];
  /** Port of the first router; the next routers get the ports after it. Default: free ports. */
  readonly firstPort?: number;
  /** Settings that override those of the sample, by section. */
  readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
  /** Tokens of each sample budget. Default 1,000,000. */
  readonly tokensPerBudget?: number;
  /** Number of requests that one engine runs concurrently, by the sample rules. Default 16. */
  readonly slotsPerEngine?: number;
}

export interface Fleet {
  readonly log: StartedProcess;
  readonly vmList: StartedProcess;
  readonly routers: StartedProcess[];
  readonly engines: StartedProcess[];
  readonly services: StartedProcess[];
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly routerUrls: string[];
  readonly rulesFile: string;
  readonly folder: string;
  readonly startRouter: (routerNumber: number, port?: number) => Promise<StartedProcess>;
  readonly stop: () => Promise<void>;
}

/** Keys of the callers in the sample rules, by workspace. */
export const sampleKeys = { yard: 'yard-sample-key', shop: 'shop-sample-key' } as const;

const ZONES = ['lima-costa-a', 'lima-costa-b', 'lima-costa-c'];
const SAMPLE_SHARED_KEY = 'sample-shared-key-of-the-fleet';

/** Starts a fleet and registers every process in the vm list. If a part does not start, ends the others and rejects. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const children: ChildProcess[] = [];
  try {
    return await startProcesses(options, (child) => children.push(child));
  } catch (error) {
    children.forEach((child) => child.kill('SIGKILL'));
    throw error;
  }
}

async function startProcesses(
  options: FleetOptions,
  onSpawn: (child: ChildProcess) => void,
): Promise<Fleet> {
  const {
    routers = 3,
    engines = 4,
    services = 2,
    firstPort = 0,
    isStderrInherited = false,
  } = options;
  const folder = mkdtempSync(join(tmpdir(), 'shallotrock-'));
  const start = (kind: string, args: readonly string[] = []) =>
    startProcess({
      script: 'dist/standins/main.js',
      args: [kind, ...args],
      isStderrInherited,
      onSpawn,
    });
  const [log, vmList] = await Promise.all([start('log', options.logArgs), start('vms')]);
  const logUrl = `http://127.0.0.1:${log.port}`;
  const vmListUrl = `http://127.0.0.1:${vmList.port}`;
  const startMany = async (kind: string, count: number, args: readonly string[] = []) => {
    const started = await Promise.all(Array.from({ length: count }, () => start(kind, args)));
    await Promise.all(
      started.map(({ port }, index) => registerVm(vmListUrl, `${kind}-${index + 1}`, port, index)),
    );
    return started;
  };
  const startedEngines = await startMany('engine', engines, options.engineArgs);
  const startedServices = await startMany('service', services);
  const startRouter = async (routerNumber: number, port = 0) => {
    const config = writeSettings({ folder, routerNumber, port, logUrl, vmListUrl, options });
    const args = ['router', '--config', config];
    const started = await startProcess({
      script: 'dist/src/daemons/shallotrock.js',
      args,
      isStderrInherited,
      onSpawn,
    });
    await registerVm(vmListUrl, `router-${routerNumber}`, started.port, routerNumber - 1);
    return started;
  };
  const startedRouters = await Promise.all(
    Array.from({ length: routers }, (_, index) =>
      startRouter(index + 1, firstPort === 0 ? 0 : firstPort + index),
    ),
  );
  const dependencies = [log, vmList, ...startedEngines, ...startedServices];
  return {
    log,
    vmList,
    routers: startedRouters,
    engines: startedEngines,
    services: startedServices,
    logUrl,
    vmListUrl,
    routerUrls: startedRouters.map(({ port }) => `http://127.0.0.1:${port}`),
    rulesFile: writeRules(folder, options),
    folder,
    startRouter,
    stop: async () => {
      startedRouters.forEach(({ child }) => child.kill('SIGCONT'));
      await Promise.all(startedRouters.map(stopProcess));
      dependencies.forEach(({ child }) => child.kill('SIGKILL'));
      await Promise.all(dependencies.map(({ exitCode }) => exitCode));
      rmSync(folder, { recursive: true });
    },
  };
}

/** Sets the faults that a stand-in injects. */
export async function setFaults(url: string, faults: object): Promise<void> {
  await fetch(`${url}/control`, { method: 'POST', body: JSON.stringify(faults) });
}

/** Waits until a router reports that it is ready. */
export async function waitUntilReady(url: string, timeoutMs = 15_000): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const response = await fetch(`${url}/readyz`).catch(() => undefined);
    if (response?.status === 200) {
      return;
    }
    if (Date.now() > deadline) {
      throw new Error(`${url} did not become ready within ${timeoutMs} ms`);
    }

    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
}

async function registerVm(
  vmListUrl: string,
  vm: string,
  port: number,
  index: number,
): Promise<void> {
  const availabilityZone = ZONES[index % ZONES.length];
  const entry = { vm, host: '127.0.0.1', port, availabilityZone, state: 'live' };
  await fetch(`${vmListUrl}/vms/${vm}`, { method: 'PUT', body: JSON.stringify(entry) });
}

interface SettingsFileOptions {
  readonly folder: string;
  readonly routerNumber: number;
  readonly port: number;
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly options: FleetOptions;
}

function writeSettings(file: SettingsFileOptions): string {
  const { folder, routerNumber, port, logUrl, vmListUrl, options } = file;
  const { settings = {} } = options;
  const sections: Record<string, Record<string, unknown>> = {
    router: {
      vm: `router-${routerNumber}`,
      availabilityZone: ZONES[(routerNumber - 1) % ZONES.length],
      listen: `127.0.0.1:${port}`,
    },
    log: { url: logUrl },
    vms: { url: vmListUrl, pollMs: 500 },
    peers: { sharedKey: SAMPLE_SHARED_KEY, probeIntervalMs: 500 },
    logging: { format: 'pretty', level: 'info' },
  };
  Object.entries(settings).forEach(([section, values]) => {
    sections[section] = { ...sections[section], ...values };
  });
  const path = join(folder, `router-${routerNumber}.toml`);
  writeFileSync(path, stringify(sections));
  return path;
}

function writeRules(
  folder: string,
  { tokensPerBudget = 1_000_000, slotsPerEngine = 16 }: FleetOptions,
): string {
  const path = join(folder, 'sample.rules');
  const lines = [
    '# Sample rules: one line a rule, each with a comment that names who asked for it.',
    'service assistant type=engine models=quill-small,quill-large   # Rosa',
    'service orders type=plain once=POST:/orders call-tokens=5      # Rosa',
    `endpoint engine-* service=assistant slots=${slotsPerEngine}             # Rosa`,
    'endpoint service-* service=orders slots=32                     # Rosa',
    'budget yard-quotes workspace=yard horizon=30m                  # Rosa',
    `fund opening budget=yard-quotes tokens=${tokensPerBudget}               # Rosa`,
    'budget shop-quotes workspace=shop horizon=10m                  # Mei-Ling',
    `fund opening budget=shop-quotes tokens=${tokensPerBudget}               # Mei-Ling`,
    `key yard-web workspace=yard sha256=${getSha256(sampleKeys.yard)} # Rosa`,
    `key shop-web workspace=shop sha256=${getSha256(sampleKeys.shop)} # Mei-Ling`,
    'allow yard-web budget=yard-quotes service=assistant priority=7 worth=10 # Rosa',
    'allow yard-web budget=yard-quotes service=orders priority=9 worth=50    # Rosa',
    'allow shop-web budget=shop-quotes service=assistant priority=5 worth=5  # Mei-Ling',
    'allow shop-web budget=shop-quotes service=orders priority=9 worth=50    # Mei-Ling',
  ];
  writeFileSync(path, `${lines.join('\n')}\n`);
  return path;
}
