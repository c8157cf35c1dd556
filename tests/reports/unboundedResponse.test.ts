/** Failure: a faulty server sends data that never forms a complete response, until the client closes the connection. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { StoreClient } from '../../platform/storeClient.js';
import { SystemTimers } from '../../src/core/timers.js';
import { HttpPeerClient } from '../../src/peers/peerRpc.js';
import { brandId } from '../../src/types/ids.js';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const CHUNK = 'x'.repeat(65_536);
const MEGABYTE = 1_048_576;
const SEAL = 'shallotrock-instance-seal: seal\r\n';

/** A server that sends a start, then repeats a text until the client closes; counts the bytes sent. */
interface EndlessServer {
  readonly port: number;
  readonly getSentBytes: () => number;
  readonly getOpenSockets: () => number;
}

async function startEndlessServer(
  context: TestContext,
  start: string,
  repeated: string,
): Promise<EndlessServer> {
  const sockets = new Set<Socket>();
  let sent = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    const send = () => {
      while (!socket.destroyed && socket.write(repeated)) {
        sent += repeated.length;
      }
      sent += repeated.length;
    };
    socket.once('data', () => {
      socket.write(start);
      socket.on('drain', send);
      send();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { port, getSentBytes: () => sent, getOpenSockets: () => sockets.size };
}

const chunk = `10000\r\n${CHUNK}\r\n`;
const endlessResponses: readonly (readonly [string, string, string])[] = [
  ['bytes that are not HTTP', 'no answer at all', CHUNK],
  ['an endless header', 'HTTP/1.1 200 OK\r\nx: ', CHUNK],
  ['endless headers', 'HTTP/1.1 200 OK\r\n', 'x: y\r\n'.repeat(2_000)],
  ['endless interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)],
  ['an endless event', `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`, chunk],
  ['an endless body without a length', `HTTP/1.1 200 OK\r\n${SEAL}\r\n`, CHUNK],
  ['an endless error response', 'HTTP/1.1 500 Error\r\ntransfer-encoding: chunked\r\n\r\n', chunk],
  [
    'an endless refusal',
    'HTTP/1.1 503 Busy\r\nshallotrock-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n',
    chunk,
  ],
];

endlessResponses.forEach(([name, start, repeated]) => {
  test(`after ${name} the call fails and the connection is closed`, TIMEOUT, async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/'), createRoute('/s/', { isStream: true })]);
    const server = await startEndlessServer(context, start, repeated);
    await fleet.listEndpoint('e1', server.port);
    const responses = [await fleet.call('/a/x'), await fleet.call('/s/x')];
    responses.forEach(({ status, body }) => {
      expect([502, 503, 504]).toInclude(status);
      expect(body.length).toBeLessThan(1_000);
    });
    await fleet.waitFor(() => server.getOpenSockets() === 0);
    // Includes the bytes in the socket buffers of both ends, beyond those that were read.
    expect(server.getSentBytes()).toBeLessThan(64 * MEGABYTE);
  });
});

test('an endless response of the store is a failure', TIMEOUT, async (context) => {
  const server = await startEndlessServer(
    context,
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    chunk,
  );
  const store = new StoreClient({
    address: { host: '127.0.0.1', port: server.port },
    timers: new SystemTimers(),
    timeoutMs: 20_000,
  });
  context.after(() => store.close());
  const result = await store.readNewest({ name: 'topic', part: 0 });
  expect(result.err && result.val.kind).toEqual('unavailable');
  expect(server.getSentBytes()).toBeLessThan(32 * MEGABYTE);
});

test('an endless response of a peer is a failure', TIMEOUT, async (context) => {
  const server = await startEndlessServer(
    context,
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    chunk,
  );
  const client = new HttpPeerClient({
    sharedKey: 'k'.repeat(16),
    getAddress: () => `127.0.0.1:${server.port}`,
    timeoutMs: 20_000,
  });
  context.after(() => client.close());
  const settlement = { hold: 'h', used: 0 };
  await expect(client.call(brandId('peer'), 'budget.settle', settlement)).toBeRejected();
  expect(server.getSentBytes()).toBeLessThan(64 * MEGABYTE);
});
