/** Failure: the next head on a connection is late or can't be read, and the call that runs is answered as refused. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendResponse } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { sleep } from '../support/fleetCalls.js';

const TIMEOUT = { timeout: 60_000 };
const CHECKS_MS = 32_000; // Node checks the times of heads every 30 s

test(
  'a call that runs is not refused because the next head on its connection is late',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { timeoutMs: 50_000 })]);
    let release: () => void = () => {};
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      release = () => sendResponse(message, response, 'booked');
    });
    fleet.gateway.server.applyLimits({
      headerBytes: 16_384,
      bodyBytes: 65_536,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 2_000,
    });
    const caller = await RawCaller.connect(context, fleet.getPort());
    caller.send('/a/booking', 'booking');
    await fleet.waitFor(() => endpoint.calls.length === 1);
    caller.write('POST /a/next HTTP/1.1\r\n');
    await sleep(CHECKS_MS);
    release();
    await fleet.waitFor(() => caller.received !== '');
    expect(caller.received.slice(0, 12)).toEqual('HTTP/1.1 200');
  },
);

test('a call that runs is not refused because garbage follows it', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { timeoutMs: 50_000 })]);
  let release: () => void = () => {};
  const endpoint = await fleet.addEndpoint('e1', (message, response) => {
    release = () => sendResponse(message, response, 'booked');
  });
  const caller = await RawCaller.connect(context, fleet.getPort());
  caller.send('/a/booking', 'booking');
  await fleet.waitFor(() => endpoint.calls.length === 1);
  caller.write('\0garbage\r\n\r\n');
  await sleep(500);
  expect(caller.received).toEqual('');
  release();
  await fleet.waitFor(() => caller.isClosedByGateway);
  expect(caller.received.slice(0, 12)).toEqual('HTTP/1.1 200');
  expect(caller.received.endsWith('booked')).toEqual(true);
  expect(endpoint.calls.length).toEqual(1);
});
