/** Failure: a response is lost, and the call runs again, or the caller is told that the call has not run. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const NOT_RUN_STATUSES = [408, 421, 429, 503];

[true, false].forEach((isStream) => {
  test(
    `a ${isStream ? 'stream' : 'call'} whose response is lost runs once and is not reported as not run`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      await fleet.configure([createRoute('/a/', { isStream, attempts: 3 })]);
      const endpoints = await Promise.all(
        ['e1', 'e2'].map(() =>
          startRawEndpoint(context, (socket) => setTimeout(() => socket.resetAndDestroy(), 20)),
        ),
      );
      await fleet.listEndpoint('e1', endpoints[0]!.port);
      await fleet.listEndpoint('e2', endpoints[1]!.port);
      const response = await fleet.call('/a/x');
      expect(NOT_RUN_STATUSES).not.toInclude(response.status);
      expect(endpoints.flatMap(({ calls }) => calls).length).toEqual(1);
    },
  );
});

test(
  'a call without a response by its timeout is reported as possibly run',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { timeoutMs: 500 })]);
    const endpoint = await startRawEndpoint(context, () => {});
    await fleet.listEndpoint('e1', endpoint.port);
    expect((await fleet.call('/a/x')).status).toEqual(504);
    expect(endpoint.calls.length).toEqual(1);
  },
);
