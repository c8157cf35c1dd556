/** A server sends a second copy of an answer, late, on a connection that is in use again. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };

function createAnswer(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nshallotrock-attempt-id: ${id}\r\nshallotrock-instance-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

test('a second copy that comes before the next answer reaches nobody', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  let before = '';
  const endpoint = await startRawEndpoint(context, (socket, call) => {
    const answer = createAnswer(call.id, `of ${call.id}`);
    socket.write(`${before}${answer}`);
    before = answer;
  });
  await fleet.listEndpoint('e1', endpoint.port);
  for (const id of ['first', 'second', 'third', 'fourth']) {
    const answer = await fleet.call('/a/x', { 'shallotrock-attempt-id': id });
    expect([`of ${id}`, undefined]).toInclude(answer.status === 200 ? answer.body : undefined);
  }
});

test(
  'a second copy that comes while the connection rests ends its use',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await startRawEndpoint(context, (socket, call) => {
      const answer = createAnswer(call.id, `of ${call.id}`);
      socket.write(answer);
      setTimeout(() => socket.write(answer), 30);
    });
    await fleet.listEndpoint('e1', endpoint.port);
    await fleet.call('/a/x', { 'shallotrock-attempt-id': 'first' });
    await fleet.waitFor(() => endpoint.sockets.size === 0);
    const answer = await fleet.call('/a/x', { 'shallotrock-attempt-id': 'second' });
    expect([answer.status, answer.body]).toEqual([200, 'of second']);
  },
);

test("a success that names no call is nobody's", TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  const endpoint = await startRawEndpoint(context, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nshallotrock-instance-seal: s\r\ncontent-length: 2\r\n\r\nok');
  });
  await fleet.listEndpoint('e1', endpoint.port);
  expect((await fleet.call('/a/x')).status).toEqual(502);
});
