/** Failure: a second signal during a planned stop, or a signal during the start, cuts calls that endpoints run. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { sleep, waitFor } from '../support/fleetCalls.js';
import type { GatewayProcess } from '../support/gatewayProcess.js';
import { KeptConnections } from '../support/keptConnections.js';
import { createLoneGateway, type LoneGateway } from '../support/loneGateway.js';
import type { SoakEndpoints } from '../support/soakEndpoints.js';

const TIMEOUT = { timeout: 60_000 };
const CALLERS = 16;
const TRAFFIC_MS = 400;
const HOST = '127.0.0.1';
/** The grace period of the gateways. */
const GRACE_S = 3;
/** Calls that may run at most once: one with a buffered response, one with a stream. */
const CALL_PATHS = ['/b/x?ms=90&bytes=800', '/s/x?ms=500'];

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
    const { gateway, endpoints, ports } = await spawnGateway(context);
    await waitFor(() => gateway.isReady());
    const callers = new KeptConnections(ports[0]!, CALL_PATHS, CALLERS);
    await sleep(TRAFFIC_MS);
    const startedAt = performance.now();
    await sendSignals(gateway, signals);
    const end = await gateway.ended;
    const durationMs = performance.now() - startedAt;
    await callers.stop();
    expect(getCutRuns(endpoints, callers)).toEqual([]);
    expect(end).toEqual({ code: 0, signal: null });
    expect(durationMs).toBeLessThan(GRACE_S * 1_000 + getStopTime(signals));
    expect(callers.answers['200'] ?? 0).toBeGreaterThan(CALLERS);
    const stops = gateway.getLogLines('signal received').filter(isStopLine);
    const [{ stopSignal }] = gateway.getLogLines('process ending') as [{ stopSignal: string }];
    expect(stops.map(({ signal }) => signal)).toEqual([stopSignal]);
  });
});

async function spawnGateway(context: TestContext, script?: string): Promise<LoneGateway> {
  const lone = await createLoneGateway(context, { host: HOST, graceS: GRACE_S, script });
  lone.gateway.spawn();
  return lone;
}

function isStopLine({ effect }: Record<string, unknown>): boolean {
  return effect === 'stopping';
}

/** Returns the calls that ran and whose callers got no whole answer. */
function getCutRuns({ runs }: SoakEndpoints, callers: KeptConnections): string[] {
  return callers.cutCalls.filter(({ id }) => runs.has(id)).map(({ id, path }) => `${id} ${path}`);
}

async function sendSignals(gateway: GatewayProcess, signals: readonly TimedSignal[]) {
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
    const { gateway, endpoints, ports } = await spawnGateway(
      context,
      'dist/tests/support/slowStartGateway.js',
    );
    const callers = await callOnceAccepted(ports[0]!);
    gateway.signal(signal);
    await sleep(TRAFFIC_MS);
    gateway.signal('SIGTERM');
    expect(await gateway.ended).toEqual({ code: 0, signal: null });
    await callers.stop();
    expect(getCutRuns(endpoints, callers)).toEqual([]);
    expect(Object.keys(callers.answers).length).toBeGreaterThan(0);
  });
});

/** Starts callers as soon as the listener for callers accepts. */
async function callOnceAccepted(port: number): Promise<KeptConnections> {
  await waitFor(() => isAccepting(port), 10_000);
  return new KeptConnections(port, CALL_PATHS, 2);
}

function isAccepting(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, HOST);
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

test('SIGTERM ends a gateway that could not start and its answers', TIMEOUT, async (context) => {
  const { gateway, endpoints, ports } = await createLoneGateway(context, {
    host: HOST,
    graceS: GRACE_S,
  });
  const other = createServer().listen(ports[2], HOST);
  await once(other, 'listening');
  context.after(() => other.close());
  gateway.spawn();
  const callers = await callOnceAccepted(ports[0]!);
  gateway.signal('SIGTERM');
  expect(await gateway.ended).toEqual({ code: 3, signal: null });
  await callers.stop();
  expect(callers.answers['503']!).toBeGreaterThan(0);
  expect(endpoints.runs.size).toEqual(0);
});
