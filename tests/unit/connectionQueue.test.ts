import { once } from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { Server as TlsServer } from 'node:tls';
import { expect } from 'earl';
import { ConnectionQueue } from '../../src/server/connectionQueue.js';
import { connectToTlsServer, createTlsServer } from '../support/tlsPair.js';

const PIPELINED = ['/a', '/b', '/c']
  .map((path) => `GET ${path} HTTP/1.1\r\nhost: yard.example\r\n\r\n`)
  .join('');

const SHORT_REQUEST = 'GET /short HTTP/1.1\r\nhost: yard.example\r\n\r\n';
const LONG_BYTES = 7 * 1_048_576; // more than the buffers of a connection hold

/** Sends pipelined requests, each handled in its turn; returns the paths that got one and all that was received. */
async function sendPipelined(
  context: TestContext,
  handle: (message: IncomingMessage, response: ServerResponse) => void,
): Promise<{ paths: string[]; received: string }> {
  const queue = new ConnectionQueue();
  const paths: string[] = [];
  const ends: Promise<void>[] = [];
  const server = createServer((message, response) => {
    const { turn, ended } = queue.add(message.socket, response);
    ends.push(ended);
    void turn.then((isOpen) => {
      if (isOpen) {
        paths.push(message.url!);
        handle(message, response);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
    if (received.endsWith('/c')) {
      socket.end();
    }
  });
  socket.write(PIPELINED);
  await once(socket, 'close');
  await Promise.all(ends);
  return { paths, received };
}

test('pipelined requests are processed one after another', async (context) => {
  const open = new Set<string>();
  const { paths, received } = await sendPipelined(context, ({ url }, response) => {
    expect(open.size).toEqual(0);
    open.add(url!);
    setTimeout(() => {
      open.delete(url!);
      response.end(url);
    }, 5);
  });
  expect(paths).toEqual(['/a', '/b', '/c']);
  expect(received.match(/HTTP\/1.1 200/g)).toEqual([
    'HTTP/1.1 200',
    'HTTP/1.1 200',
    'HTTP/1.1 200',
  ]);
});

test('a request behind a response that closes the connection is not processed, and ends', async (context) => {
  const { paths, received } = await sendPipelined(context, ({ url }, response) => {
    response.setHeader('connection', 'close');
    setTimeout(() => response.end(url), 5);
  });
  expect(paths).toEqual(['/a']);
  expect(received.endsWith('/a')).toEqual(true);
});

/** Opens connections to a server in different states and closes the idle ones; returns which were closed. */
async function closeIdleConnections(
  context: TestContext,
  server: HttpServer,
  open: (port: number) => Socket,
): Promise<Record<string, boolean>> {
  const queue = new ConnectionQueue();
  queue.watch(server);
  let endedRequests = 0;
  server.on('request', (message: IncomingMessage, response: ServerResponse) => {
    void queue.add(message.socket, response).ended.then(() => {
      endedRequests += 1;
    });
    response.end(message.url === '/short' ? 'short' : 'x'.repeat(LONG_BYTES));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const event = server instanceof TlsServer ? 'secureConnection' : 'connection';
  const accept = async (text: string): Promise<Socket> => {
    const accepted = once(server, event);
    const socket = open(port);
    context.after(() => socket.destroy());
    const [peer] = (await accepted) as [Socket];
    socket.write(text);
    while (peer.bytesRead < text.length) {
      // Lets the server read.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return peer;
  };
  const unused = await accept('');
  const idle = await accept(SHORT_REQUEST);
  const partial = await accept(SHORT_REQUEST.slice(0, 8));
  // No client reads, so only a short response can be sent.
  const unsent = await accept(SHORT_REQUEST.replace('/short', '/long'));
  while (endedRequests < 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  queue.closeIdle();
  const peers = Object.entries({ unused, idle, partial, unsent });
  return Object.fromEntries(peers.map(([name, { destroyed }]) => [name, destroyed]));
}

const CLOSED = { unused: true, idle: true, partial: false, unsent: false };

test('of open connections those without an open request or a part of one are closed', async (context) => {
  const open = (port: number) => connect(port, '127.0.0.1').pause();
  expect(await closeIdleConnections(context, createServer(), open)).toEqual(CLOSED);
});

test('of open TLS connections those without an open request or a part of one are closed', async (context) => {
  const open = (port: number) => connectToTlsServer(port).pause();
  expect(await closeIdleConnections(context, createTlsServer(), open)).toEqual(CLOSED);
});
