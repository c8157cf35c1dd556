/** Failure: a response is reset, or coded, and the older router's callers receive a part or the coded bytes as its body. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { readResponseBody } from '../../src/relay/readResponseBody.js';
import { HttpEndpointClient } from '../../src/transports/httpEndpointClient.js';
import { sleep } from '../support/fleetCalls.js';

const RUNS = 30;
const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Starts a server that handles each request on a raw socket, and returns a function that calls it. */
async function createCaller(context: TestContext, handle: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => handle(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new HttpEndpointClient();
  context.after(async () => {
    await client.close();
    server.close();
  });
  return async (hasOwnConnection: boolean): Promise<string | undefined> => {
    const response = await client.send({
      url: `http://127.0.0.1:${port}/`,
      method: 'POST',
      headers: {},
      body: Buffer.from('body'),
      signal: new AbortController().signal,
      firstByteMs: 2_000,
      hasOwnConnection,
    });
    const body = response.ok ? await readResponseBody(response.val) : response;
    return body.ok ? Buffer.from(body.val).toString() : undefined;
  };
}

[
  ['at once', 0],
  ['later', 5],
].forEach(([name, delayMs]) => {
  test(`a response without a length whose connection is reset ${name} is not whole`, async (context) => {
    const call = await createCaller(context, (socket) => {
      socket.write(`${HEAD}\r\nhalf`, async () => {
        if (delayMs) {
          await sleep(Number(delayMs));
        }
        socket.resetAndDestroy();
      });
    });
    const bodies: (string | undefined)[] = [];
    for (let run = 0; run < RUNS; run += 1) {
      // Sequential, so that connections do not end at the same time.
      bodies.push(await call(run % 2 === 0));
    }
    expect(bodies.filter((body) => body !== undefined)).toEqual([]);
  });
});

test('a response without a length whose connection ends in order is whole', async (context) => {
  const call = await createCaller(context, (socket) => socket.end(`${HEAD}\r\nwhole`));
  expect([await call(true), await call(false)]).toEqual(['whole', 'whole']);
});

[
  'gzip',
  'identity',
  'chunked;q=1',
  'chunked, gzip',
  'gzip, chunked',
  'chunked\r\ntransfer-encoding: gzip',
].forEach((coding) => {
  test(`a body in the transfer coding ${JSON.stringify(coding)} is not passed on`, async (context) => {
    const call = await createCaller(context, (socket) =>
      socket.end(`${HEAD}transfer-encoding: ${coding}\r\n\r\n4\r\ndata\r\n0\r\n\r\n`),
    );
    expect([await call(true), await call(false)]).toEqual([undefined, undefined]);
  });
});

test('a body in chunks is passed on', async (context) => {
  const call = await createCaller(context, (socket) =>
    socket.end(`${HEAD}Transfer-Encoding: Chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n`),
  );
  expect([await call(true), await call(false)]).toEqual(['data', 'data']);
});
