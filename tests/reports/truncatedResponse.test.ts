/** Failure: an endpoint closes the connection in the middle of a response, and the caller receives a complete success. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const truncatedBodies: readonly (readonly [string, string])[] = [
  ['with a length', 'content-length: 100\r\n\r\nid: 1\ndata: t1\n\nid: 2\ndat'],
  ['in chunks', 'transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: t1\n\n\r\n10\r\nid: 2'],
  ['without a length', '\r\nid: 1\ndata: t1\n\nid: 2\ndat'],
];

truncatedBodies.forEach(([name, rest]) => {
  [true, false].forEach((isStream) => {
    test(
      `a truncated ${isStream ? 'stream' : 'plain response'} ${name} is not a success`,
      TIMEOUT,
      async (context) => {
        const fleet = await GatewayFleet.start(context);
        await fleet.configure([createRoute('/a/', { isStream })]);
        const endpoint = await startRawEndpoint(context, (socket, { id }) => {
          socket.write(
            `HTTP/1.1 200 OK\r\nshallotrock-attempt-id: ${id}\r\nshallotrock-instance-seal: s\r\n${rest}`,
          );
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
        await fleet.listEndpoint('e1', endpoint.port);
        const response = await fleet.call('/a/x');
        expect(response.status === 200 && response.isComplete).toEqual(false);
        expect(endpoint.calls.length).toEqual(1);
      },
    );
  });
});
