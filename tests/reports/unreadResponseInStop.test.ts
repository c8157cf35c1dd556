/** Failure: a stopping gateway closes connections as idle while their callers still read the end of a response. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendResponse } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const TIMEOUT = { timeout: 30_000 };
const RESPONSE_BYTES = 7 * 1_048_576; // more than the buffers of a connection hold

test(
  'a caller that reads slowly gets the whole response of a stopping gateway, and idle connections are closed',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      sendResponse(message, response, 'x'.repeat(RESPONSE_BYTES));
    });
    const idle = await RawCaller.connect(context, fleet.getPort());
    const slow = await RawCaller.connect(context, fleet.getPort());
    slow.pause();
    slow.send('/a/x', 'booking');
    await fleet.waitFor(() => endpoint.calls.length === 1);
    await fleet.settle();
    const stopped = fleet.gateway.stop();
    await fleet.waitFor(() => idle.isClosedByGateway);
    await fleet.settle();
    slow.resume();
    await fleet.waitFor(() => slow.isClosedByGateway);
    await stopped;
    expect(slow.received.split('\r\n\r\n')[1]?.length).toEqual(RESPONSE_BYTES);
  },
);
