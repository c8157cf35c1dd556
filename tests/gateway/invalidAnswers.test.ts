/** Failure: an answer that is incomplete or invalid is passed on as a complete one. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget } from '../../src/core/memoryBudget.js';
import { SystemTimers } from '../../src/core/timers.js';
import { EndpointAgent } from '../../src/gateway/forward/endpointAgent.js';
import { EndpointCall } from '../../src/gateway/forward/endpointCall.js';
import { readResponseBody as readGatewayBody } from '../../src/gateway/forward/responseRelay.js';
import { readResponseBody as readRouterBody } from '../../src/relay/readResponseBody.js';
import { HttpEndpointClient } from '../../src/transports/httpEndpointClient.js';

const TIMEOUT = { timeout: 20_000 };
/** More than the buffers of a connection hold. */
const LONG_UPLOAD_BYTES = 24 * 1_048_576;
/** Fits the buffers of a connection, but is more than an endpoint that has stopped reading takes out of them. */
const SHORT_UPLOAD_BYTES = 400_000;
const RUNS = 6; // the order of the events of a connection differs from run to run

type Answer = { readonly status: number; readonly bytes: number } | undefined;

/** Sends one call and returns its answer, or `undefined` if it is not complete. */
interface Caller {
  readonly name: string;
  readonly call: (context: TestContext, port: number, body: Buffer) => Promise<Answer>;
}

const callers: readonly Caller[] = [
  {
    name: 'gateway',
    call: async (context, port, body) => {
      const agent = new EndpointAgent();
      context.after(() => agent.destroy());
      const responseMemory = new MemoryBudget({ limitBytes: 1_000_000 });
      const endpointCall = new EndpointCall({
        agent,
        timers: new SystemTimers(),
        responseMemory,
        callId: `call-${Math.random()}`,
        address: { host: '127.0.0.1', port },
        method: 'POST',
        target: '/',
        headers: ['Host', 'x', 'Content-Length', String(body.length)],
        body,
      });
      const result = await endpointCall.result;
      if (result.kind !== 'answered') {
        return undefined;
      }
      const message = result.response;
      const answer = await readGatewayBody(
        { message, isErrorFree: () => endpointCall.isErrorFree() },
        responseMemory,
      );
      return answer.kind === 'complete'
        ? { status: message.statusCode!, bytes: answer.body.length }
        : undefined;
    },
  },
  {
    name: 'router',
    call: async (context, port, body) => {
      const client = new HttpEndpointClient();
      context.after(() => client.close());
      const sent = await client.send({
        url: `http://127.0.0.1:${port}/`,
        method: 'POST',
        headers: {},
        body,
        hasOwnConnection: true,
        signal: AbortSignal.timeout(5_000),
      });
      if (sent.err) {
        return undefined;
      }
      const answer = await readRouterBody(sent.val);
      return answer.ok ? { status: sent.val.status, bytes: answer.val.length } : undefined;
    },
  },
];

async function startEndpoint(
  context: TestContext,
  handle: (socket: Socket) => void,
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => handle(socket));
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

const endings: { name: string; end: (socket: Socket) => void }[] = [
  { name: 'closed', end: (socket) => socket.destroySoon() },
  { name: 'reset', end: (socket) => socket.resetAndDestroy() },
  {
    name: 'half-closed',
    end: (socket) => {
      socket.end();
    },
  },
  {
    name: 'half-closed and then reset',
    end: (socket) => {
      socket.end(() => socket.resetAndDestroy());
    },
  },
];
const LATE_RESET_MS = 3;
// Failure: the end is taken as orderly before the reset that follows it arrives.
endings.push({
  name: 'half-closed and reset a little later',
  end: (socket) => {
    socket.end(() => setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS));
  },
});
const framings = [
  { name: 'without a length', head: '\r\n\r\n', getBody: (bytes: number) => 'x'.repeat(bytes) },
  {
    name: 'with a longer length',
    head: '\r\nContent-Length: 100000\r\n\r\n',
    getBody: (bytes: number) => 'x'.repeat(bytes),
  },
  {
    name: 'in chunks without the last',
    head: '\r\nTransfer-Encoding: chunked\r\n\r\n',
    getBody: (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`,
  },
];

callers.forEach(({ name, call }) => {
  endings.forEach((ending) => {
    framings.forEach((framing) => {
      [SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES].forEach((uploadBytes) => {
        // A short upload is in the buffers of the connection when an orderly end arrives.
        if (uploadBytes === SHORT_UPLOAD_BYTES && ending.name === 'half-closed') {
          return;
        }
        const title = `an early answer ${framing.name}, ${ending.name} during an upload of ${uploadBytes} bytes`;
        test(`${name}: ${title}, is not complete`, TIMEOUT, async (context) => {
          const body = Buffer.alloc(uploadBytes, 'u');
          for (const bytes of [0, 1, 1_000, 70_000]) {
            const port = await startEndpoint(context, (socket) => {
              socket.pause();
              socket.write(`HTTP/1.1 200 OK${framing.head}`);
              socket.write(bytes > 0 ? framing.getBody(bytes) : '', () => ending.end(socket));
            });
            // Sequential, so that connections do not end at the same time.
            for (let run = 0; run < RUNS; run += 1) {
              expect(await call(context, port, body)).toEqual(undefined);
            }
          }
        });
      });
    });
  });

  const heads = [
    ...['000', '099', '600', '999', '20', '2000', '2x0', 'abc', '-20'].map(
      (status) => `HTTP/1.1 ${status} OK\r\nContent-Length: 2`,
    ),
    'HTTP/1.1 199 Odd\r\nContent-Length: 2',
    'HTTP/1.1 101 Switching Protocols',
    'HTTP/1.1 204 No Content\r\nContent-Length: 2',
    'HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked',
    'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3',
    'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked',
    'HTTP/1.1 200 OK\r\nContent-Length: two',
    'HTTP/1.1 200 OK\r\nContent-Length: -2',
  ];
  heads.forEach((head) => {
    test(`${name}: ${JSON.stringify(head)} is not an answer`, TIMEOUT, async (context) => {
      const port = await startEndpoint(context, (socket) => socket.end(`${head}\r\n\r\nok`));
      expect(await call(context, port, Buffer.from('body'))).toEqual(undefined);
    });
  });

  ['200 OK', '404 Not Found', '599 Odd'].forEach((status) => {
    test(`${name}: an answer with status ${status} is complete`, TIMEOUT, async (context) => {
      const port = await startEndpoint(context, (socket) =>
        socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 2\r\n\r\nok`),
      );
      expect(await call(context, port, Buffer.from('body'))).toEqual({
        status: Number(status.slice(0, 3)),
        bytes: 2,
      });
    });
  });

  test(`${name}: an upload continues after an early answer`, TIMEOUT, async (context) => {
    let received = 0;
    let resolveUploaded!: () => void;
    const uploaded = new Promise<void>((resolve) => {
      resolveUploaded = resolve;
    });
    const port = await startEndpoint(context, (socket) => {
      socket.on('data', (bytes: Buffer) => {
        received += bytes.length;
        if (received > LONG_UPLOAD_BYTES - 100_000) {
          resolveUploaded();
          socket.end('d');
        }
      });
      socket.pause();
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nearly');
      setTimeout(() => socket.resume(), 100);
    });
    const answer = call(context, port, Buffer.alloc(LONG_UPLOAD_BYTES, 'u'));
    await uploaded;
    expect(await answer).toEqual({ status: 200, bytes: 6 });
  });
});
