/** Failure: an exception while a stopping process settles its accounts leaves its listeners open and cuts calls. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };

/** Lets a step of the stop fail after its work. */
function failStep(fleet: GatewayFleet, step: 'stop' | 'drain'): void {
  const { escrow } = fleet.gateway;
  const run = escrow[step].bind(escrow);
  escrow[step] = async () => {
    await run();
    throw new Error('connection to the store reset');
  };
}

test('a stop answers the calls in flight although escrow.stop fails', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { timeoutMs: 20_000 })]);
  const endpoint = await fleet.addEndpoint('silent', () => {});
  failStep(fleet, 'stop');
  const call = fleet.call('/a/x', { 'shallotrock-deadline-ms': '20000' });
  await fleet.waitFor(() => endpoint.calls.length === 1);
  await fleet.gateway.stop();
  expect((await call).status).toEqual(504);
  await expect(fleet.call('/a/x')).toBeRejected();
});

test('a stop closes the listeners although escrow.drain fails', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  failStep(fleet, 'drain');
  await fleet.gateway.stop();
  await expect(fleet.call('/a/x')).toBeRejected();
});
