import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { ConnectionQueue } from '../../src/server/connectionQueue.js';

const PIPELINED = ['/a', '/b', '/c']
  .map((path) => `GET ${path} HTTP/1.1\r\nhost: yard.example\r\n\r\n`)
  .join('');

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
