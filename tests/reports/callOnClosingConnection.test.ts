/** Failure: a stopping gateway forwards calls from connections that it closes itself: they run, and their answers are lost. */
import type { ServerResponse } from 'node:http';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import {
  createRoute,
  GatewayFleet,
  sendEvents,
  sendResponse,
  type TestEndpoint,
} from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const TIMEOUT = { timeout: 30_000 };
const STREAM_END = '0\r\n\r\n';
const RESPONSE_HEAD = /HTTP\/1.1 (\d+)/g;

/** A gateway with an endpoint whose streams stay open until the test ends them, and a caller's connection. */
interface Scenario {
  readonly fleet: GatewayFleet;
  readonly endpoint: TestEndpoint;
  readonly caller: RawCaller;
  readonly endStreams: () => void;
}

async function startScenario(context: TestContext): Promise<Scenario> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/'), createRoute('/s/', { isStream: true })]);
  const streams: ServerResponse[] = [];
  const endpoint = await fleet.addEndpoint('e1', (message, response) => {
    if (message.url?.startsWith('/s/')) {
      sendEvents(message, response, [1]);
      streams.push(response);
    } else {
      setTimeout(() => sendResponse(message, response, 'booked'), 20);
    }
  });
  const caller = await RawCaller.connect(context, fleet.getPort());
  return { fleet, endpoint, caller, endStreams: () => streams.forEach((stream) => stream.end()) };
}

const getStatuses = ({ received }: RawCaller) =>
  [...received.matchAll(RESPONSE_HEAD)].map(([, status]) => status);
const getPaths = ({ calls }: TestEndpoint) => calls.map(({ url }) => url);

test(
  'a call that follows a stream from before the stop is answered, and its connection closes then',
  TIMEOUT,
  async (context) => {
    const { fleet, endpoint, caller, endStreams } = await startScenario(context);
    caller.send('/s/x', 'stream');
    await fleet.waitFor(() => caller.received.includes('data: t1'));
    const stopped = fleet.gateway.stop();
    endStreams();
    await fleet.waitFor(() => caller.received.endsWith(STREAM_END));
    caller.send('/a/x', 'booking');
    await fleet.waitFor(() => caller.isClosedByGateway);
    expect(getStatuses(caller)).toEqual(['200', '200']);
    expect(/connection: close[^]*booked$/i.test(caller.received)).toEqual(true);
    expect(getPaths(endpoint)).toEqual(['/s/x', '/a/x']);
    await stopped;
  },
);

test(
  'a call that follows a stream while calls are refused gets its refusal',
  TIMEOUT,
  async (context) => {
    const { fleet, endpoint, caller, endStreams } = await startScenario(context);
    caller.send('/s/x', 'stream');
    await fleet.waitFor(() => caller.received.includes('data: t1'));
    // Another stream keeps the gateway waiting for the calls in flight.
    const other = await RawCaller.connect(context, fleet.getPort());
    other.send('/s/y', 'other');
    await fleet.waitFor(() => other.received.includes('data: t1'));
    const stopped = fleet.gateway.stop();
    await fleet.callUntil('/a/probe', 503);
    const [ownStream] = endpoint.responses;
    ownStream!.end();
    await fleet.waitFor(() => caller.received.endsWith(STREAM_END));
    caller.send('/a/x', 'booking');
    await fleet.waitFor(() => caller.isClosedByGateway);
    expect(getStatuses(caller)).toEqual(['200', '503']);
    endStreams();
    await stopped;
    expect(getPaths(endpoint).filter((path) => path === '/a/x')).toEqual([]);
  },
);

test(
  'a call that follows a response which announced the close of its connection is not forwarded',
  TIMEOUT,
  async (context) => {
    const { fleet, endpoint, caller, endStreams } = await startScenario(context);
    const stopped = fleet.gateway.stop();
    caller.send('/s/x', 'stream');
    await fleet.waitFor(() => caller.received.includes('data: t1'));
    expect(caller.received.toLowerCase()).toInclude('connection: close');
    caller.send('/a/x', 'booking');
    await fleet.settle();
    endStreams();
    await fleet.waitFor(() => caller.isClosedByGateway);
    await stopped;
    expect(getPaths(endpoint)).toEqual(['/s/x']);
    expect(caller.received.endsWith(STREAM_END)).toEqual(true);
  },
);

test(
  'a call that waits behind another one on its connection ends when the caller disconnects',
  TIMEOUT,
  async (context) => {
    const { fleet, endpoint, caller } = await startScenario(context);
    caller.send('/s/x', 'stream');
    caller.send('/a/x', 'booking');
    await fleet.waitFor(() => caller.received.includes('data: t1'));
    caller.disconnect();
    await fleet.waitFor(() => fleet.gateway.server.getOpenCalls() === 0);
    expect(getPaths(endpoint)).toEqual(['/s/x']);
  },
);
