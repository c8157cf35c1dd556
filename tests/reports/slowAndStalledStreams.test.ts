/** Failure: slow but working streams are aborted, and stalled streams that send an occasional byte never end. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendEvents } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };

test('a stream with long pauses between events is complete', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/s/', { isStream: true, timeoutMs: 20_000 })]);
  await fleet.addEndpoint('e1', (message, response) => {
    sendEvents(message, response, [1]);
    setTimeout(() => response.write('id: 2\ndata: t2\n\n'), 2_500);
    setTimeout(() => response.end('id: 3\ndata: t3\n\n'), 5_000);
  });
  const response = await fleet.call('/s/x');
  expect([response.isComplete, response.body.match(/^id/gm)?.length]).toEqual([true, 3]);
});

test(
  "a stream that sends only keep-alive comments ends at the route's timeout and is incomplete",
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/s/', { isStream: true, timeoutMs: 1_000 })]);
    let isClosed = false;
    await fleet.addEndpoint('e1', (message, response) => {
      sendEvents(message, response, [1]);
      const trickle = setInterval(() => response.write(':'), 50);
      response.on('close', () => {
        clearInterval(trickle);
        isClosed = true;
      });
    });
    const response = await fleet.call('/s/x');
    expect([response.status, response.isComplete]).toEqual([200, false]);
    await fleet.waitFor(() => isClosed);
  },
);

test(
  "a plain response that arrives too slowly ends at the route's timeout",
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { timeoutMs: 1_000 })]);
    await fleet.addEndpoint('e1', (message, response) => {
      response.writeHead(200, {
        'shallotrock-attempt-id': message.headers['shallotrock-attempt-id'],
        'shallotrock-instance-seal': 'seal',
      });
      const trickle = setInterval(() => response.write('.'), 50);
      response.on('close', () => clearInterval(trickle));
    });
    expect((await fleet.call('/a/x')).status).toEqual(504);
  },
);
