import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { Worker } from 'node:worker_threads';
import { expect } from 'earl';
import { StoreClient } from '../../platform/storeClient.js';
import { SystemTimers } from '../../src/core/timers.js';

const TOPIC = { name: 'topic', part: 0 };
const IDLE_TIMEOUT_MS = 150;
const BODY = JSON.stringify({ entries: [], endOffset: 7 });

function createClientOf(port: number): StoreClient {
  return new StoreClient({
    address: { host: '127.0.0.1', port },
    timers: new SystemTimers(),
    timeoutMs: IDLE_TIMEOUT_MS,
  });
}

async function createClient(
  context: TestContext,
  handleRequest: (response: ServerResponse) => void,
) {
  const server = createServer((_, response) => handleRequest(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = createClientOf((server.address() as AddressInfo).port);
  context.after(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return client;
}

test('a slow response that keeps sending data is read to its end', async (context) => {
  const client = await createClient(context, (response) => {
    let sent = 0;
    const send = () => {
      response.write(BODY[sent]);
      sent += 1;
      if (sent < BODY.length) {
        setTimeout(send, IDLE_TIMEOUT_MS / 10);
      } else {
        response.end();
      }
    };
    send();
  });
  const newest = await client.readNewest(TOPIC);
  expect(newest.ok && Number(newest.val.end)).toEqual(7);
});

test('a response that stalls fails with the idle timeout', async (context) => {
  const client = await createClient(context, (response) => {
    response.write(BODY.slice(0, 5));
  });
  const newest = await client.readNewest(TOPIC);
  expect(newest.err && newest.val).toEqual({
    kind: 'unavailable',
    detail: 'no data received for 150 ms',
  });
});

/** Runs beside the event loop of the test, so that it responds while that is stalled. */
const SERVER_SCRIPT = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const server = createServer((_, response) => response.end(${JSON.stringify(BODY)}));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

// Failure: a gateway that was slow took the store for unavailable, and knew late of endpoints that left.
test('a response that arrived during a stall of the event loop is read, although its timeout has passed', async (context) => {
  const worker = new Worker(SERVER_SCRIPT, { eval: true });
  const [port] = (await once(worker, 'message')) as [number];
  const client = createClientOf(port);
  context.after(async () => {
    await client.close();
    await worker.terminate();
  });
  expect((await client.readNewest(TOPIC)).ok).toEqual(true);
  const response = client.readNewest(TOPIC);
  // The request leaves in this iteration of the event loop; the stall begins after it.
  await new Promise(setImmediate);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, IDLE_TIMEOUT_MS * 3);
  const newest = await response;
  expect(newest.ok ? Number(newest.val.end) : newest.val).toEqual(7);
});
