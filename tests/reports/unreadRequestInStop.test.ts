/** Failure: a draining router whose event loop was late closes connections that hold unread requests as idle. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { createRefusal } from '../../src/core/codes.js';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { Err } from '../../src/core/results.js';
import type { Settings } from '../../src/core/settings.js';
import { SystemTimers } from '../../src/core/timers.js';
import { CallerServer } from '../../src/server/callerServer.js';

const REQUEST = 'POST /x HTTP/1.1\r\nhost: yard.example\r\ncontent-length: 4\r\n\r\nbody';

test('requests that have arrived unread when a router drains are refused', async (context) => {
  const server = new CallerServer({
    settings: {
      router: { listen: '127.0.0.1:0' },
      limits: { headerBytes: 16_384, bodyBytes: 1_024, bodyTimeoutMs: 5_000 },
    } as unknown as Settings,
    timers: new SystemTimers(),
    metrics: createMetrics(),
    logger: createLogger({ level: 'error' }),
    handlers: {
      handleCaller: () => Promise.resolve(Err(createRefusal('overloaded'))),
      handlePeer: () => Promise.resolve(undefined),
      listModels: () => [],
      getNotReadyReason: () => undefined,
    },
  });
  const socket = connect(await server.listen(), '127.0.0.1');
  context.after(() => server.close());
  await once(socket, 'connect');
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  socket.write(REQUEST);
  await once(socket, 'data');
  await new SystemTimers().sleep(50); // until the connection is idle
  const first = received.length;
  // The router can't read before it drains, as after a stall.
  socket.write(REQUEST);
  void server.drain();
  await once(socket, 'close');
  expect(received.slice(first).startsWith('HTTP/1.1 503')).toEqual(true);
  expect(received.slice(first)).toInclude('"code":"draining"');
});
