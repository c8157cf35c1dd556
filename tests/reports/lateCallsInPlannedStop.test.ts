/** Failure: calls that come late in a planned stop are forwarded, and are cut without a response when it ends. */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendEvents, sendResponse } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const TIMEOUT = { timeout: 30_000 };
const BODY = 'twelve ash poles';

/** Sends a call whose body arrives while a stopping gateway refuses calls; returns the response and how often it ran. */
async function sendLateBody(
  context: TestContext,
  timeoutMs: number,
): Promise<{ received: string; runs: number }> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { timeoutMs })]);
  const endpoint = await fleet.addEndpoint('e1', (message, response) => {
    sendResponse(message, response, 'booked');
  });
  const caller = await RawCaller.connect(context, fleet.getPort());
  caller.send('/a/late', 'late', BODY, BODY.slice(0, 6));
  await fleet.waitFor(() => fleet.gateway.server.getOpenCalls() === 1);
  const stopped = fleet.gateway.stop();
  await fleet.callUntil('/a/probe', 503);
  caller.write(BODY.slice(6));
  await fleet.waitFor(() => caller.isClosedByGateway);
  await stopped;
  const runs = endpoint.calls.filter(({ url }) => url === '/a/late').length;
  return { received: caller.received, runs };
}

test(
  'a call whose body arrives while calls are refused is refused and not run',
  TIMEOUT,
  async (context) => {
    const { received, runs } = await sendLateBody(context, 5_000);
    expect(received.startsWith('HTTP/1.1 503')).toEqual(true);
    expect(received).toInclude('"ran":"not_run"');
    expect(runs).toEqual(0);
  },
);

test(
  'a call whose body arrives while calls are refused is served if its deadline is before the end of the stop',
  TIMEOUT,
  async (context) => {
    const { received, runs } = await sendLateBody(context, 2_600);
    expect(received.startsWith('HTTP/1.1 200')).toEqual(true);
    expect(received.endsWith('booked')).toEqual(true);
    expect(runs).toEqual(1);
  },
);

test(
  'a call that an endpoint did not execute is not sent to another one while calls are refused',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { attempts: 2 })]);
    const full = await fleet.addEndpoint('full', () => {});
    const call = fleet.call('/a/x');
    await fleet.waitFor(() => full.calls.length === 1);
    const other = await fleet.addEndpoint('other', (message, response) => {
      sendResponse(message, response, 'booked');
    });
    const stopped = fleet.gateway.stop();
    await fleet.callUntil('/a/probe', 503);
    const probes = other.calls.length;
    full.responses[0]!.writeHead(503, {
      'shallotrock-attempt-id': full.calls[0]!.headers['shallotrock-attempt-id'],
      'shallotrock-not-executed': '1',
    });
    full.responses[0]!.end();
    const { status, body } = await call;
    await stopped;
    expect(status).toEqual(503);
    expect(body).toInclude('"ran":"not_run"');
    expect(other.calls.length).toEqual(probes);
  },
);

test(
  'a call that still runs at the end of a planned stop gets a truthful response',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([
      createRoute('/a/', { timeoutMs: 20_000 }),
      createRoute('/s/', { timeoutMs: 20_000, isStream: true }),
    ]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      if (message.url === '/s/x') {
        sendEvents(message, response, [1]);
      }
    });
    const calls = [fleet.call('/a/x'), fleet.call('/s/x')];
    await fleet.waitFor(() => endpoint.calls.length === 2);
    await fleet.settle();
    await fleet.gateway.stop();
    const [booking, stream] = await Promise.all(calls);
    expect([booking!.status, booking!.isComplete]).toEqual([504, true]);
    expect(booking!.body).toInclude('"ran":"unknown"');
    expect([stream!.status, stream!.isComplete]).toEqual([200, false]);
  },
);
