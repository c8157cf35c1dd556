/** Failure: a faulty server sends data that never forms a complete response, until the client closes the connection. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { StoreClient } from '../../platform/storeClient.js';
import { SystemTimers } from '../../src/core/timers.js';
import { HttpPeerClient } from '../../src/peers/peerRpc.js';
import { brandId } from '../../src/types/ids.js';
import { createRoute, GatewayFleet, sendResponse } from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const CHUNK = 'x'.repeat(65_536);
const MEGABYTE = 1_048_576;
/** The limits of a gateway's process (deploy/system.toml): its heap, and what its memory of 350 MB leaves for buffers. */
const HEAP_MB_MAX = 160;
const BUFFERS_MB_MAX = 190;
/** So many bodies of the largest size exceed the memory of a gateway. */
const CALLS = 60;
const INCOMPLETE_EVENTS = 150;
/** Callers leave a gateway that has not read their call after one second. */
const STALL_MS_MAX = 1_000;
/** The headers of a valid endpoint. The server replaces `CALL_ID`. */
const SEAL = 'shallotrock-instance-seal: seal\r\nshallotrock-attempt-id: CALL_ID\r\n';

/** A server that sends a start, then repeats a text until the client closes; counts the bytes sent. */
interface EndlessServer {
  readonly port: number;
  readonly getHeldCalls: () => number;
  readonly release: () => void;
  readonly getSentBytes: () => number;
  readonly getOpenSockets: () => number;
}

async function startEndlessServer(
  context: TestContext,
  start: string,
  repeated: string,
  /** Whether responses wait for `release`. */
  isHeld = false,
): Promise<EndlessServer> {
  const sockets = new Set<Socket>();
  const heldCalls: (() => void)[] = [];
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
    socket.once('data', (bytes: Buffer) => {
      const [, id = ''] = /shallotrock-attempt-id: (\S+)/i.exec(bytes.toString()) ?? [];
      const respond = () => {
        socket.write(start.replace('CALL_ID', id));
        socket.on('drain', send);
        send();
      };
      if (isHeld) {
        heldCalls.push(respond);
      } else {
        respond();
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    port,
    getHeldCalls: () => heldCalls.length,
    release: () => heldCalls.splice(0).forEach((respond) => respond()),
    getSentBytes: () => sent,
    getOpenSockets: () => sockets.size,
  };
}

const BLANK_LINES = '\r\n'.repeat(32_768);
const INTERIM_RESPONSE = 'HTTP/1.1 103 Early Hints\r\n\r\n';
const chunk = `10000\r\n${CHUNK}\r\n`;
const endlessResponses: readonly (readonly [string, string, string])[] = [
  ['bytes that are not HTTP', 'no answer at all', CHUNK],
  ['an endless header', 'HTTP/1.1 200 OK\r\nx: ', CHUNK],
  ['endless headers', 'HTTP/1.1 200 OK\r\n', 'x: y\r\n'.repeat(2_000)],
  ['endless blank lines before a status line', '', BLANK_LINES],
  ['endless blank lines after an interim response', INTERIM_RESPONSE, BLANK_LINES],
  ['endless interim responses', '', INTERIM_RESPONSE.repeat(500)],
  ['an endless event', `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`, chunk],
  ['an endless body without a length', `HTTP/1.1 200 OK\r\n${SEAL}\r\n`, CHUNK],
  ['an endless error response', 'HTTP/1.1 500 Error\r\ntransfer-encoding: chunked\r\n\r\n', chunk],
  [
    'endless trailers',
    `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n0\r\n`,
    'x: y\r\n'.repeat(2_000),
  ],
  [
    'an endless chunk extension',
    `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n1;`,
    CHUNK,
  ],
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

const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${SEAL}content-type: text/event-stream\r\n\r\n`;
const FIRST_EVENT = 'id: 1\ndata: x\n\n';

// Failure: an answer of blank lines, comments or repeated events was passed on until the caller's deadline.
[
  ['blank lines', STREAM_HEAD, BLANK_LINES],
  ['blank lines after an event', STREAM_HEAD + FIRST_EVENT, BLANK_LINES],
  ['comments', STREAM_HEAD, ': \n\n'.repeat(16_384)],
  ['repeated events', STREAM_HEAD, FIRST_EVENT.repeat(4_000)],
].forEach(([name, start, repeated]) => {
  test(`a stream of endless ${name} is broken off`, TIMEOUT, async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/s/', { isStream: true, timeoutMs: 20_000 })]);
    const server = await startEndlessServer(context, start!, repeated!);
    await fleet.listEndpoint('e1', server.port);
    const { isComplete } = await fleet.call('/s/x');
    expect(isComplete).toEqual(false);
    await fleet.waitFor(() => server.getOpenSockets() === 0);
    expect(server.getSentBytes()).toBeLessThan(64 * MEGABYTE);
  });
});

// Failure: the limit on one incomplete event was the only one, so those of many streams exceeded the memory together.
test(
  'incomplete events of many streams share the memory of all responses',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/s/', { isStream: true, timeoutMs: 3_000 })]);
    const server = await startRawEndpoint(context, (socket, { id }) => {
      socket.write(STREAM_HEAD.replace('CALL_ID', id) + FIRST_EVENT + CHUNK.repeat(3));
    });
    await fleet.listEndpoint('e1', server.port);
    const startedAt = performance.now();
    const durations = await Promise.all(
      Array.from({ length: INCOMPLETE_EVENTS }, async () => {
        expect((await fleet.call('/s/x')).isComplete).toEqual(false);
        return performance.now() - startedAt;
      }),
    );
    // 150 times 192 KiB are 28 MiB, and 24 MiB are allowed.
    const evictedCount = durations.filter((ms) => ms < 2_500).length;
    expect([evictedCount > 0, evictedCount < INCOMPLETE_EVENTS / 2]).toEqual([true, true]);
  },
);

/** Runs an action; returns the most memory that the process used beyond its state before, and the longest stall. */
async function measure(
  action: () => Promise<void>,
): Promise<{ buffersMb: number; heapMb: number; stallMs: number }> {
  const before = process.memoryUsage();
  const stalls = monitorEventLoopDelay({ resolution: 10 });
  stalls.enable();
  let buffers = 0;
  let heap = 0;
  const sample = () => {
    const { arrayBuffers, heapUsed } = process.memoryUsage();
    buffers = Math.max(buffers, arrayBuffers - before.arrayBuffers);
    heap = Math.max(heap, heapUsed - before.heapUsed);
  };
  const timer = setInterval(sample, 5);
  await action();
  sample();
  clearInterval(timer);
  stalls.disable();
  return { buffersMb: buffers / MEGABYTE, heapMb: heap / MEGABYTE, stallMs: stalls.max / 1e6 };
}

test(
  'endless bodies of many calls stay within the memory of a gateway, and other calls are answered',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const start = `HTTP/1.1 200 OK\r\n${SEAL}\r\n`;
    const server = await startEndlessServer(context, start, CHUNK, true);
    await fleet.listEndpoint('faulty', server.port);
    const { buffersMb } = await measure(async () => {
      const calls = Array.from({ length: CALLS }, () => fleet.call('/a/x'));
      await fleet.waitFor(() => server.getHeldCalls() === CALLS);
      await fleet.addEndpoint('sound', (message, response) => {
        setTimeout(() => sendResponse(message, response, 'y'.repeat(100_000)), 100);
        server.release();
      });
      const sound = await fleet.call('/a/sound');
      expect([sound.status, sound.isComplete]).toEqual([200, true]);
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      expect(new Set(statuses)).toEqual(new Set([502]));
    });
    expect(buffersMb).toBeLessThan(BUFFERS_MB_MAX);
  },
);

// Failure (review case 6): the parser skips blank lines without end, all of which were kept, and the process ran out of memory.
test(
  'endless blank lines to many calls stay within the memory of a gateway, and other calls are answered',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const server = await startEndlessServer(context, '', BLANK_LINES, true);
    await fleet.listEndpoint('faulty', server.port);
    const { buffersMb, stallMs } = await measure(async () => {
      const calls = Array.from({ length: CALLS }, () => fleet.call('/a/x'));
      await fleet.waitFor(() => server.getHeldCalls() === CALLS);
      await fleet.addEndpoint('sound', (message, response) => {
        setTimeout(() => sendResponse(message, response, 'y'), 100);
        server.release();
      });
      const sound = await fleet.call('/a/sound');
      expect([sound.status, sound.isComplete]).toEqual([200, true]);
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      expect(new Set(statuses)).toEqual(new Set([502]));
    });
    expect(buffersMb).toBeLessThan(BUFFERS_MB_MAX);
    expect(stallMs).toBeLessThan(STALL_MS_MAX);
  },
);

const tinyChunks = '1\r\nx\r\n'.repeat(10_000);
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

[
  ['an endless body', '/a/x'],
  ['an endless event', '/s/x'],
].forEach(([name, path]) => {
  test(
    `${name} in chunks of one byte stays within the memory of a gateway`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      const fields = { repeatability: 'repeatable', timeoutMs: 4_000 } as const;
      await fleet.configure([
        createRoute('/a/', fields),
        createRoute('/s/', { ...fields, isStream: true }),
      ]);
      const start = `HTTP/1.1 200 OK\r\n${SEAL}${CHUNKED}`;
      const server = await startEndlessServer(context, start, tinyChunks);
      await fleet.listEndpoint('e1', server.port);
      const { heapMb, buffersMb, stallMs } = await measure(async () => {
        expect([502, 504]).toInclude((await fleet.call(path!)).status);
      });
      expect(heapMb).toBeLessThan(HEAP_MB_MAX);
      expect(buffersMb).toBeLessThan(BUFFERS_MB_MAX);
      expect(stallMs).toBeLessThan(STALL_MS_MAX);
    },
  );
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
