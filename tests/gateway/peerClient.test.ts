import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { expect } from 'earl';
import { createDeferred } from '../../src/core/utilities.js';
import { HttpPeerClient, PeerServer, SIGNATURE_HEADER } from '../../src/peers/peerRpc.js';
import { brandId } from '../../src/types/ids.js';

const SHARED_KEY = 'k'.repeat(16);
const WAITING_HOLDS = 12;

test('holds that wait at a home do not block further holds of the same vm', async (context) => {
  const released = createDeferred<void>();
  let holds = 0;
  const peers = new PeerServer(SHARED_KEY, {
    'budget.hold': async () => {
      holds += 1;
      if (holds > WAITING_HOLDS) {
        released.resolve();
      }
      await released.promise;
      return { kind: 'held' };
    },
  });
  const server = createServer((message, response) => {
    text(message)
      .then((body) => peers.handleMessage(body, String(message.headers[SIGNATURE_HEADER])))
      .then((responseBody) => response.end(responseBody))
      .catch(() => response.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new HttpPeerClient({
    sharedKey: SHARED_KEY,
    getAddress: () => `127.0.0.1:${port}`,
  });
  context.after(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  const calls = Array.from({ length: WAITING_HOLDS + 1 }, (_, index) =>
    client.call(
      brandId('home'),
      'budget.hold',
      { hold: `vm-${index}`, budget: brandId('yard'), tokens: 1, waitMs: 180 },
      2_000,
    ),
  );
  const results = await Promise.allSettled(calls);
  expect(results.filter(({ status }) => status === 'fulfilled').length).toEqual(WAITING_HOLDS + 1);
});
