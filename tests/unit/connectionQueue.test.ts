import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { ConnectionQueue } from '../../src/server/connectionQueue.js';

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

test('of open connections those without an open request or a part of one are closed', async (context) => {
  const queue = new ConnectionQueue();
  const sockets = new Set<Socket>();
  const server = createServer((message, response) => {
    const { ended } = queue.add(message.socket, response);
    void ended.then(() => server.emit('ended'));
    response.end(message.url === '/short' ? 'short' : 'x'.repeat(LONG_BYTES));
  });
  server.on('connection', (socket: Socket) => sockets.add(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const open = async (text: string, isReading = true) => {
    const accepted = once(server, 'connection');
    const socket = connect(port, '127.0.0.1');
    context.after(() => socket.destroy());
    const [peer] = (await accepted) as [Socket];
    const ended = text === SHORT_REQUEST ? once(server, 'ended') : undefined;
    socket.write(text);
    if (isReading) {
      socket.resume();
    }
    await ended;
    while (text !== '' && peer.bytesRead < text.length) {
      // Lets the server read.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return peer;
  };
  context.after(() => server.close());
  const unused = await open('');
  const idle = await open(SHORT_REQUEST);
  const partial = await open(SHORT_REQUEST.slice(0, 8));
  const unread = await open(SHORT_REQUEST.replace('/short', '/long'), false);
  queue.closeIdle(sockets);
  expect([unused, idle, partial, unread].map(({ destroyed }) => destroyed)).toEqual([
    true,
    true,
    false,
    false,
  ]);
});
