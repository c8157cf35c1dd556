/** Failure: a gateway whose log is no longer read serves no call, uses a whole core and does not stop. */
import { test } from 'node:test';
import { expect } from 'earl';
import { KeptConnection } from '../support/keptConnection.js';
import { createLoneGateway } from '../support/loneGateway.js';
import { createSoakRequest, RandomSource } from '../support/soakRequests.js';

const TIMEOUT = { timeout: 30_000 };
const CALLS = 5;

test('a gateway whose log is no longer read serves calls and stops', TIMEOUT, async (context) => {
  const { gateway, ports } = await createLoneGateway(context, {
    host: '127.0.0.4',
    graceS: 4,
    isLogClosed: true,
  });
  await gateway.start();
  expect(gateway.isRunning).toEqual(true);
  const random = new RandomSource(1);
  const statuses: (number | undefined)[] = [];
  const connection = await KeptConnection.connect('127.0.0.4', ports[0]!);
  context.after(() => connection.close());
  while (statuses.length < CALLS) {
    const { status } = await connection.send(createSoakRequest(random, 'call'));
    statuses.push(status);
  }
  expect(statuses).toEqual(Array.from({ length: CALLS }, () => 200));
  connection.close();
  gateway.signal('SIGTERM');
  expect(await gateway.ended).toEqual({ code: 0, signal: null });
});
