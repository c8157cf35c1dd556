/** Failure: a second signal during a planned stop, or a signal during the start, cuts calls that endpoints run. */
import { test } from 'node:test';
import { connect } from 'node:net';
import { expect } from 'earl';
import { callPaths, SignalledGateway, GRACE_S } from '../support/signalledGateway.js';
import { sleep, waitFor } from '../support/fleetCalls.js';
import { KeptConnections } from '../support/keptConnections.js';

const TIMEOUT = { timeout: 60_000 };
const CALLERS = 16;
const TRAFFIC_MS = 400;

interface TimedSignal {
  readonly atMs: number;
  readonly signal: NodeJS.Signals;
}

interface SignalSeries {
  readonly name: string;
  /** The signals with their times since the first one. */
  readonly signals: readonly TimedSignal[];
}

const createSeries = (...signals: readonly [number, NodeJS.Signals][]): TimedSignal[] =>
  signals.map(([atMs, signal]) => ({ atMs, signal }));

const stopSeries: readonly SignalSeries[] = [
  { name: 'SIGTERM twice', signals: createSeries([0, 'SIGTERM'], [600, 'SIGTERM']) },
  { name: 'SIGINT twice', signals: createSeries([0, 'SIGINT'], [600, 'SIGINT']) },
  { name: 'SIGTERM and SIGHUP', signals: createSeries([0, 'SIGTERM'], [600, 'SIGHUP']) },
  { name: 'SIGQUIT', signals: createSeries([0, 'SIGQUIT']) },
  {
    name: 'SIGHUP, SIGUSR1, SIGUSR2 and SIGALRM, then SIGTERM',
    signals: createSeries(
      [0, 'SIGHUP'],
      [100, 'SIGUSR1'],
      [200, 'SIGUSR2'],
      [300, 'SIGALRM'],
      [400, 'SIGTERM'],
    ),
  },
  {
    name: 'every signal at the same moment',
    signals: createSeries(
      [0, 'SIGTERM'],
      [0, 'SIGINT'],
      [0, 'SIGTERM'],
      [0, 'SIGQUIT'],
      [0, 'SIGHUP'],
      [0, 'SIGUSR1'],
      [0, 'SIGUSR2'],
    ),
  },
  {
    name: 'overlapping series',
    signals: createSeries(
      [0, 'SIGTERM'],
      [150, 'SIGINT'],
      [200, 'SIGHUP'],
      [300, 'SIGTERM'],
      [450, 'SIGINT'],
      [500, 'SIGQUIT'],
      [600, 'SIGUSR2'],
      [750, 'SIGINT'],
      [900, 'SIGTERM'],
      [1_200, 'SIGHUP'],
      [1_350, 'SIGTERM'],
    ),
  },
];

stopSeries.forEach(({ name, signals }) => {
  test(`calls in flight get whole answers after ${name}`, TIMEOUT, async (context) => {
    const gateway = await SignalledGateway.spawn(context);
    await gateway.waitUntilReady();
    const callers = new KeptConnections(gateway.ports[0]!, Object.values(callPaths), CALLERS);
    await sleep(TRAFFIC_MS);
    const startedAt = performance.now();
    await sendSignals(gateway, signals);
    const end = await gateway.ended;
    const durationMs = performance.now() - startedAt;
    await callers.stop();
    expect(getCutRuns(gateway, callers)).toEqual([]);
    expect(end).toEqual({ code: 0, signal: null });
    expect(durationMs).toBeLessThan(GRACE_S * 1_000 + getStopTime(signals));
    expect(callers.answers['200'] ?? 0).toBeGreaterThan(CALLERS);
    const stops = gateway.getLogLines('signal received').filter(isStopLine);
    const [{ stopSignal }] = gateway.getLogLines('process ending') as [{ stopSignal: string }];
    expect(stops.map(({ signal }) => signal)).toEqual([stopSignal]);
  });
});

function isStopLine({ effect }: Record<string, unknown>): boolean {
  return effect === 'stopping';
}

/** Returns the calls that ran and whose callers got no whole answer. */
function getCutRuns(gateway: SignalledGateway, callers: KeptConnections): string[] {
  return callers.cutCalls
    .filter(({ id }) => gateway.runs.has(id))
    .map(({ id, path }) => `${id} ${path}`);
}

async function sendSignals(gateway: SignalledGateway, signals: readonly TimedSignal[]) {
  let sentMs = 0;
  for (const { atMs, signal } of signals) {
    if (atMs > sentMs) {
      await sleep(atMs - sentMs);
      sentMs = atMs;
    }
    gateway.signal(signal);
  }
}

/** Returns the time of the first signal that requests a stop. */
function getStopTime(signals: readonly TimedSignal[]): number {
  return signals.find(({ signal }) => ['SIGTERM', 'SIGINT', 'SIGQUIT'].includes(signal))!.atMs;
}

(['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const).forEach((signal) => {
  test(`${signal} during the start does not cut accepted calls`, TIMEOUT, async (context) => {
    const gateway = await SignalledGateway.spawn(context, {
      script: 'dist/tests/support/slowStartGateway.js',
    });
    const callers = await callOnceAccepted(gateway);
    gateway.signal(signal);
    await sleep(TRAFFIC_MS);
    gateway.signal('SIGTERM');
    expect(await gateway.ended).toEqual({ code: 0, signal: null });
    await callers.stop();
    expect(getCutRuns(gateway, callers)).toEqual([]);
    expect(Object.keys(callers.answers).length).toBeGreaterThan(0);
  });
});

/** Starts callers as soon as the listener for callers accepts. */
async function callOnceAccepted(gateway: SignalledGateway): Promise<KeptConnections> {
  await waitFor(() => isAccepting(gateway.ports[0]!), 10_000);
  return new KeptConnections(gateway.ports[0]!, Object.values(callPaths), 2);
}

function isAccepting(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

test('SIGTERM ends a gateway that could not start and its answers', TIMEOUT, async (context) => {
  const gateway = await SignalledGateway.spawn(context, { isPeerPortTaken: true });
  const callers = await callOnceAccepted(gateway);
  gateway.signal('SIGTERM');
  expect(await gateway.ended).toEqual({ code: 3, signal: null });
  await callers.stop();
  expect(callers.answers['503']!).toBeGreaterThan(0);
  expect(gateway.runs.size).toEqual(0);
});
