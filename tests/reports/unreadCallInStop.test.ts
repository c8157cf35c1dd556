/** Failure: a stopping gateway whose event loop was late closes connections that hold unread calls as idle. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendResponse } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const TIMEOUT = { timeout: 30_000 };

test(
  'calls that have arrived unread when a stopping gateway closes idle connections are refused',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    await fleet.addEndpoint('e1', (message, response) => {
      sendResponse(message, response, 'booked');
    });
    const used = await RawCaller.connect(context, fleet.getPort());
    used.send('/a/x', 'first');
    await fleet.waitFor(() => used.received.endsWith('booked'));
    await fleet.settle();
    const first = used.received.length;
    // The gateway can't read before it drains, as after a stall.
    used.send('/a/x', 'second');
    void fleet.gateway.server.drain();
    await fleet.waitFor(() => used.isClosedByGateway);
    expect(used.received.slice(first).startsWith('HTTP/1.1 503')).toEqual(true);
    expect(used.received.slice(first)).toInclude('"ran":"not_run"');
  },
);

test(
  'calls that have arrived unread when a stopping gateway closes are refused',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const caller = await RawCaller.connect(context, fleet.getPort());
    await fleet.settle();
    caller.send('/a/x', 'late');
    fleet.gateway.server.startDraining();
    const closed = fleet.gateway.server.close();
    await fleet.waitFor(() => caller.isClosedByGateway);
    expect(caller.received.startsWith('HTTP/1.1 503')).toEqual(true);
    await closed;
  },
);
