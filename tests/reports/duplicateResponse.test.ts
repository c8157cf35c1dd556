/** Failure: a server sends a response twice; the late copy arrives on a connection that already carries another call. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };

function createResponse(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nshallotrock-attempt-id: ${id}\r\nshallotrock-instance-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

test(
  'a duplicate response that arrives before the next response is not delivered',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    let previousResponse = '';
    const endpoint = await startRawEndpoint(context, (socket, call) => {
      const response = createResponse(call.id, `of ${call.id}`);
      socket.write(`${previousResponse}${response}`);
      previousResponse = response;
    });
    await fleet.listEndpoint('e1', endpoint.port);
    for (const id of ['first', 'second', 'third', 'fourth']) {
      const response = await fleet.call('/a/x', { 'shallotrock-attempt-id': id });
      expect([`of ${id}`, undefined]).toInclude(
        response.status === 200 ? response.body : undefined,
      );
    }
  },
);

test(
  'a duplicate response on an idle connection closes the connection',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await startRawEndpoint(context, (socket, call) => {
      const response = createResponse(call.id, `of ${call.id}`);
      socket.write(response);
      setTimeout(() => socket.write(response), 30);
    });
    await fleet.listEndpoint('e1', endpoint.port);
    await fleet.call('/a/x', { 'shallotrock-attempt-id': 'first' });
    await fleet.waitFor(() => endpoint.sockets.size === 0);
    const response = await fleet.call('/a/x', { 'shallotrock-attempt-id': 'second' });
    expect([response.status, response.body]).toEqual([200, 'of second']);
  },
);

test('a success without a call id is not delivered', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  const endpoint = await startRawEndpoint(context, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nshallotrock-instance-seal: s\r\ncontent-length: 2\r\n\r\nok');
  });
  await fleet.listEndpoint('e1', endpoint.port);
  expect((await fleet.call('/a/x')).status).toEqual(502);
});
