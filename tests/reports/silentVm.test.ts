/** Failure: running calls of a vm that is only silent or slow to report for a while are run again elsewhere, or aborted. */
import { test } from 'node:test';
import { expect } from 'earl';
import { sendResponse, createRoute, GatewayFleet } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };

test(
  'a call to an endpoint whose entry expires completes there and is not run elsewhere',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { repeatability: 'repeatable', attempts: 3 })]);
    let finish = () => {};
    const silent = await fleet.addEndpoint('silent', (message, response) => {
      finish = () => sendResponse(message, response, 'done');
    });
    const pendingResponse = fleet.call('/a/x');
    await fleet.waitFor(() => silent.calls.length === 1);
    const other = await fleet.addEndpoint('other', (message, response) =>
      sendResponse(message, response, 'again'),
    );
    fleet.removeEndpoint('silent');
    await fleet.waitFor(() => fleet.gateway.directory.getSize() === 1);
    finish();
    expect((await pendingResponse).body).toEqual('done');
    expect(other.calls.length).toEqual(0);
  },
);
