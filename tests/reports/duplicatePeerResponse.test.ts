/** Failure: a peer's response to another message leaves a call to the peer open forever. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { HttpPeerClient } from '../../src/peers/peerRpc.js';

[0, null].forEach((id) => {
  test(
    `a response of a peer with the id ${id} ends the call with an error`,
    { timeout: 5_000 },
    async (context) => {
      const server = createServer((message, response) => {
        message.resume();
        message.on('end', () => response.end(JSON.stringify({ jsonrpc: '2.0', id, result: {} })));
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const { port } = server.address() as AddressInfo;
      const client = new HttpPeerClient({
        sharedKey: 'k'.repeat(16),
        getAddress: () => `127.0.0.1:${port}`,
      });
      context.after(async () => {
        await client.close();
        server.close();
      });
      await expect(client.call('vm1' as never, 'peer.probe', {} as never)).toBeRejectedWith(
        'the response belongs to another message',
      );
    },
  );
});
