/** Servers in trouble send bytes that are no answer, without end, until the caller closes. */
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

/** What a server sends again and again after its start, and how much of it a caller has taken. */
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
  ['bytes that are no answer', 'no answer at all', CHUNK],
  ['a header without end', 'HTTP/1.1 200 OK\r\nx: ', CHUNK],
  ['headers without end', 'HTTP/1.1 200 OK\r\n', 'x: y\r\n'.repeat(2_000)],
  ['interim answers without end', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)],
  ['an event without end', `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`, chunk],
  ['a body without a length or an end', `HTTP/1.1 200 OK\r\n${SEAL}\r\n`, CHUNK],
  ['a failure without end', 'HTTP/1.1 500 Error\r\ntransfer-encoding: chunked\r\n\r\n', chunk],
  [
    'a refusal without end',
    'HTTP/1.1 503 Busy\r\nshallotrock-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n',
    chunk,
  ],
];

endlessResponses.forEach(([name, start, repeated]) => {
  test(`${name} end a call with one failure and the connection`, TIMEOUT, async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/'), createRoute('/s/', { isStream: true })]);
    const server = await startEndlessServer(context, start, repeated);
    await fleet.listEndpoint('e1', server.port);
    const answers = [await fleet.call('/a/x'), await fleet.call('/s/x')];
    answers.forEach(({ status, body }) => {
      expect([502, 503, 504]).toInclude(status);
      expect(body.length).toBeLessThan(1_000);
    });
    await fleet.waitFor(() => server.getOpenSockets() === 0);
    // What both ends' sockets hold comes on top of what was read.
    expect(server.getSentBytes()).toBeLessThan(64 * MEGABYTE);
  });
});

test('an answer of the store without end is one failure', TIMEOUT, async (context) => {
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
  const answer = await store.readNewest({ name: 'topic', part: 0 });
  expect(answer.err && answer.val.kind).toEqual('unavailable');
  expect(server.getSentBytes()).toBeLessThan(32 * MEGABYTE);
});

test('an answer of a peer without end is one failure', TIMEOUT, async (context) => {
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
