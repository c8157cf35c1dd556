/** Failure: bytes that can't be read are refused on a connection, and the request that runs on it is answered as refused. */
import { once } from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { ConnectionQueue } from '../../src/server/connectionQueue.js';
import { connectToTlsServer, createTlsServer } from '../support/tlsPair.js';

const TIMEOUT = { timeout: 20_000 };
const OPTIONS: ServerOptions = {
  maxHeaderSize: 1_024,
  headersTimeout: 200,
  requestTimeout: 400,
  connectionsCheckingInterval: 50,
};
const RUN_MS = 1_000; // many checks of the times of heads

const createHead = (path: string, ...headers: string[]) =>
  [`POST ${path} HTTP/1.1`, 'host: yard.example', ...headers, '', ''].join('\r\n');
const RUNNING = `${createHead('/running', 'content-length: 4')}body`;
const LATE_HEAD = 'POST /next HTTP/1.1\r\n';
const LARGE_HEAD = createHead('/next', `x: ${'x'.repeat(2_048)}`);
const CHUNKED_HEAD = createHead('/next', 'transfer-encoding: chunked');
const GARBAGE = '\0garbage\r\n\r\n';

const PLAIN = {
  server: () => createServer(OPTIONS),
  open: (port: number): Socket => connect(port, '127.0.0.1'),
};
const TLS = {
  server: () => createTlsServer(OPTIONS),
  open: connectToTlsServer,
};

interface Exchanged {
  /** The status lines that the caller received. */
  readonly statusLines: readonly string[];
  /** The last bytes that it received. */
  readonly lastBytes: string;
  /** The paths of the requests whose bodies were read in their turn. */
  readonly run: readonly string[];
}

/** Sends texts on one connection, the later ones once the first request runs, until the server closes it. */
async function exchange(
  context: TestContext,
  { server: createOne, open }: { server: () => Server; open: (port: number) => Socket },
  [first, ...later]: readonly string[],
  endsEarly = false,
): Promise<Exchanged> {
  const queue = new ConnectionQueue();
  const run: string[] = [];
  const server = createOne();
  queue.watch(server);
  server.on('request', async (message: IncomingMessage, response: ServerResponse) => {
    message.on('error', () => {});
    if (!(await queue.add(message.socket, response).turn)) {
      return;
    }
    message.on('end', () => {
      run.push(message.url!);
      setTimeout(() => response.end(message.url), RUN_MS);
    });
    message.resume();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const socket = open((server.address() as AddressInfo).port);
  context.after(() => socket.destroy());
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
  socket.on('error', () => {});
  const closed = once(socket, 'close');
  socket.write(first!);
  if (later.length > 0 || endsEarly) {
    await once(server, 'request');
  }
  for (const text of later) {
    socket.write(text);
    // Sends each text in a segment of its own.
    await new Promise((resolve) => {
      setTimeout(resolve, RUN_MS / 3);
    });
  }
  if (endsEarly) {
    socket.end('POST ');
  }
  await closed;
  const statusLines = received.match(/^HTTP\/1\.1 .*(?=\r)/gm) ?? [];
  return { statusLines, lastBytes: received.slice(-8), run };
}

const RUN_ALONE = {
  statusLines: ['HTTP/1.1 200 OK'],
  lastBytes: '/running',
  run: ['/running'],
};

[
  { name: 'TCP', transport: PLAIN },
  { name: 'TLS', transport: TLS },
].forEach(({ name, transport }) => {
  [
    { next: 'a head that is late', texts: [LATE_HEAD] },
    {
      next: 'a head that is late and then complete',
      texts: [LATE_HEAD, 'host: yard.example\r\n\r\n'],
    },
    { next: 'garbage', texts: [GARBAGE, GARBAGE] },
    { next: 'a head that is too large', texts: [LARGE_HEAD] },
    { next: 'a body that is garbage', texts: [`${CHUNKED_HEAD}${GARBAGE}`] },
    { next: 'a body that is late', texts: [CHUNKED_HEAD] },
  ].forEach(({ next, texts }) => {
    test(
      `a request that runs is answered over ${name} although ${next} follows it`,
      TIMEOUT,
      async (context) => {
        expect(await exchange(context, transport, [RUNNING, ...texts])).toEqual(RUN_ALONE);
      },
    );
  });

  [
    { what: 'garbage', text: GARBAGE, statusLine: 'HTTP/1.1 400 Bad Request' },
    {
      what: 'a head that is too large',
      text: LARGE_HEAD,
      statusLine: 'HTTP/1.1 431 Request Header Fields Too Large',
    },
    {
      what: 'a head that is late',
      text: LATE_HEAD,
      statusLine: 'HTTP/1.1 408 Request Timeout',
    },
    {
      what: 'a body that is garbage',
      text: `${CHUNKED_HEAD}${GARBAGE}`,
      statusLine: 'HTTP/1.1 400 Bad Request',
    },
    {
      what: 'a body with large chunk extensions',
      text: `${CHUNKED_HEAD}4;${'x'.repeat(20_000)}\r\n`,
      statusLine: 'HTTP/1.1 413 Payload Too Large',
    },
    {
      what: 'a body that is late',
      text: CHUNKED_HEAD,
      statusLine: 'HTTP/1.1 408 Request Timeout',
    },
  ].forEach(({ what, text, statusLine }) => {
    test(
      `${what} is refused over ${name} on a connection without another open request`,
      TIMEOUT,
      async (context) => {
        const { statusLines, run } = await exchange(context, transport, [text]);
        expect({ statusLines, run }).toEqual({ statusLines: [statusLine], run: [] });
      },
    );
  });
});

test(
  'a failed TLS handshake closes the connection without a response',
  TIMEOUT,
  async (context) => {
    const open = (port: number) => connect(port, '127.0.0.1');
    const { statusLines, run } = await exchange(context, { ...TLS, open }, [GARBAGE.repeat(10)]);
    expect({ statusLines, run }).toEqual({ statusLines: [], run: [] });
  },
);

test(
  'a caller that ends its side inside a head gets no refusal of the request that runs',
  TIMEOUT,
  async (context) => {
    const { statusLines, run } = await exchange(context, PLAIN, [RUNNING], true);
    expect({ statusLines, run }).toEqual({ statusLines: [], run: ['/running'] });
  },
);
