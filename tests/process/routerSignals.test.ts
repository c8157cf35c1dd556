/** Failure: a second signal during the stop of a router or of the launcher cuts requests or leaves processes behind. */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { setFaults, type Fleet } from '../../launch/fleet.js';
import {
  getOrderRunCounts,
  parseStream,
  sendOrder,
  sendOrderUntilCreated,
  sleep,
  startChat,
  startReadyFleet,
} from '../support/fleetCalls.js';

const TIMEOUT = { timeout: 60_000 };
const STREAMS = 6;
const SIGNAL_INTERVAL_MS = 80;

async function startFleetOfOne(context: TestContext): Promise<Fleet> {
  const fleet = await startReadyFleet({
    routers: 1,
    engines: 2,
    services: 1,
    engineArgs: ['--token-ms', '60'],
  });
  context.after(() => fleet.stop());
  return fleet;
}

const signalSeries: readonly (readonly NodeJS.Signals[])[] = [
  ['SIGTERM', 'SIGTERM'],
  ['SIGINT', 'SIGINT', 'SIGINT'],
  ['SIGHUP', 'SIGTERM'],
  ['SIGUSR1', 'SIGUSR2', 'SIGTERM', 'SIGHUP'],
  ['SIGQUIT', 'SIGTERM', 'SIGINT', 'SIGTERM'],
];

signalSeries.forEach((signals) => {
  test(`a router ends what runs after ${signals.join(', ')}`, TIMEOUT, async (context) => {
    const fleet = await startFleetOfOne(context);
    const [router] = fleet.routers;
    const [url] = fleet.routerUrls as [string];
    const streams = await Promise.all(
      Array.from({ length: STREAMS }, (_, index) => startChat(url, `stream ${index}`)),
    );
    const texts = streams.map((response) => response.text());
    const orders = Array.from({ length: STREAMS }, (_, index) => `order-${index}`);
    const statuses = orders.map((key) =>
      sendOrder(url, key).then(
        ({ status }) => status,
        // The router may close an idle connection on which the order is being sent.
        () => undefined,
      ),
    );
    for (const signal of signals) {
      router!.child.kill(signal);
      await sleep(SIGNAL_INTERVAL_MS);
    }
    const answers = await Promise.all(texts);
    expect(answers.map((text) => parseStream(text).isComplete)).toEqual(streams.map(() => true));
    const received = await Promise.all(statuses);
    const runs = await getOrderRunCounts(fleet);
    expect(received.map((status) => status === 201)).toEqual(orders.map((key) => runs[key] === 1));
    expect(await router!.exitCode).toEqual(0);
  });
});

test('a router ends although the log is unavailable', TIMEOUT, async (context) => {
  const fleet = await startFleetOfOne(context);
  const [router] = fleet.routers;
  const [url] = fleet.routerUrls as [string];
  await sendOrderUntilCreated('warm', [url]);
  const chat = await startChat(url, 'during the outage');
  await setFaults(fleet.logUrl, { outage: true });
  router!.child.kill('SIGTERM');
  expect(parseStream(await chat.text()).isComplete).toEqual(true);
  expect(await router!.exitCode).toEqual(0);
});
