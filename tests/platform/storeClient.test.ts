import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { StoreClient } from '../../platform/storeClient.js';
import { SystemTimers } from '../../src/core/timers.js';

const TOPIC = { name: 'topic', part: 0 };
const IDLE_TIMEOUT_MS = 150;
const BODY = JSON.stringify({ entries: [], endOffset: 7 });

async function createClient(
  context: TestContext,
  handleRequest: (response: ServerResponse) => void,
) {
  const server = createServer((_, response) => handleRequest(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new StoreClient({
    address: { host: '127.0.0.1', port },
    timers: new SystemTimers(),
    timeoutMs: IDLE_TIMEOUT_MS,
  });
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
