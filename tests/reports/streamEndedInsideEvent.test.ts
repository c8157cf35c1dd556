/** Failure: an endpoint breaks off a stream inside an event with an orderly end, and the caller receives a complete success. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const HEAD = 'HTTP/1.1 200 OK\r\nshallotrock-instance-seal: s\r\nshallotrock-attempt-id: ';
const streams: readonly (readonly [string, string])[] = [
  ['with a length', 'content-length: 22\r\n\r\nid: 1\ndata: t1\n\nid: 2\n'],
  ['in chunks', 'transfer-encoding: chunked\r\n\r\n16\r\nid: 1\ndata: t1\n\nid: 2\n\r\n0\r\n\r\n'],
  ['without a length', '\r\nid: 1\ndata: t1\n\nid: 2\n'],
  ['without a length and any event', '\r\n'],
];

streams.forEach(([name, rest]) => {
  test(`a stream ${name} that ends inside an event is not a success`, TIMEOUT, async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { isStream: true })]);
    const endpoint = await startRawEndpoint(context, (socket, { id }) => {
      socket.end(`${HEAD}${id}\r\n${rest}`);
    });
    await fleet.listEndpoint('e1', endpoint.port);
    const response = await fleet.call('/a/x');
    expect(response.status === 200 && response.isComplete).toEqual(false);
    expect(response.body.includes('id: 2')).toEqual(false);
    expect(endpoint.calls.length).toEqual(1);
  });
});

test(
  'a stream that ends inside an event resumes after its last whole event',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    const fields = { isStream: true, repeatability: 'resumable', attempts: 2 } as const;
    await fleet.configure([createRoute('/a/', fields)]);
    const parts = ['\r\nid: 1\ndata: t1\n\nid: 2\n', '\r\nid: 2\ndata: t2\n\n'];
    const handle = async (name: string) => {
      const endpoint = await startRawEndpoint(context, (socket, { id }) => {
        socket.end(`${HEAD}${id}\r\n${parts.shift()}`);
      });
      await fleet.listEndpoint(name, endpoint.port);
    };
    await handle('e1');
    await handle('e2');
    const response = await fleet.call('/a/x');
    expect([response.status, response.isComplete]).toEqual([200, true]);
    expect(response.body).toEqual('id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n');
  },
);

test('a stream without a length that ends after an event is complete', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { isStream: true })]);
  const endpoint = await startRawEndpoint(context, (socket, { id }) => {
    socket.end(`${HEAD}${id}\r\n\r\nid: 1\ndata: t1\n\nid: 2\ndata: t2\n\n`);
  });
  await fleet.listEndpoint('e1', endpoint.port);
  const response = await fleet.call('/a/x');
  expect([response.status, response.isComplete]).toEqual([200, true]);
  expect(response.body).toEqual('id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n');
});
