import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { SystemTimers } from '../../src/core/timers.js';
import { MemoryBudget } from '../../src/core/memoryBudget.js';
import { readResponseBody } from '../../src/gateway/forward/responseRelay.js';
import { EndpointAgent } from '../../src/gateway/forward/endpointAgent.js';
import { EndpointCall, type SendResult } from '../../src/gateway/forward/endpointCall.js';

/** Starts a TCP server on a free loopback port. It is closed at the end of the test. */
async function startServer(
  context: TestContext,
  handle: (socket: Socket) => void,
): Promise<Server> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    handle(socket);
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

function createAgent(context: TestContext): EndpointAgent {
  const agent = new EndpointAgent();
  context.after(() => agent.destroy());
  return agent;
}

function callPort(port: number, agent: EndpointAgent): EndpointCall {
  return new EndpointCall({
    agent,
    timers: new SystemTimers(),
    responseMemory: new MemoryBudget({ limitBytes: 1_000_000 }),
    callId: `call-${Math.random()}`,
    address: { host: '127.0.0.1', port },
    method: 'GET',
    target: '/',
    headers: ['Host', 'x'],
    body: Buffer.alloc(0),
  });
}

function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function call(server: Server, agent: EndpointAgent): EndpointCall {
  return callPort(getPort(server), agent);
}

async function readResponse(endpointCall: EndpointCall): Promise<string | undefined> {
  const result = await endpointCall.result;
  if (result.kind !== 'answered') {
    return undefined;
  }
  const body = await readResponseBody(
    { message: result.response, isErrorFree: () => endpointCall.isErrorFree() },
    new MemoryBudget({ limitBytes: 1_000 }),
  );
  return body.kind === 'complete' ? body.body.toString() : undefined;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';

test('a response without a length whose connection is reset is never complete', async (context) => {
  const server = await startServer(context, (socket) => {
    socket.once('data', () => {
      socket.write(`${HEAD}\r\nhalf`);
      socket.resetAndDestroy();
    });
  });
  const agent = createAgent(context);
  for (let run = 0; run < 60; run += 1) {
    // Sequential, so that connections do not end at the same time.
    expect(await readResponse(call(server, agent))).toEqual(undefined);
  }
});

test('a response without a length whose connection ends in order is complete', async (context) => {
  const server = await startServer(context, (socket) => {
    socket.once('data', () => socket.end(`${HEAD}\r\nwhole`));
  });
  const agent = createAgent(context);
  for (let run = 0; run < 20; run += 1) {
    // Sequential, so that connections do not end at the same time.
    expect(await readResponse(call(server, agent))).toEqual('whole');
  }
});

test('a response with a body shorter than its length is not complete', async (context) => {
  const server = await startServer(context, (socket) => {
    socket.once('data', () => socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`));
  });
  const agent = createAgent(context);
  expect(await readResponse(call(server, agent))).toEqual(undefined);
});

test('a connection that carried a second response is not reused', async (context) => {
  const sockets = new Set<Socket>();
  const server = await startServer(context, (socket) => {
    sockets.add(socket);
    socket.on('data', () => {
      socket.write(`${HEAD}Content-Length: 3\r\n\r\none`);
      setImmediate(() => socket.write(`${HEAD}Content-Length: 5\r\n\r\nextra`));
    });
  });
  const agent = createAgent(context);
  expect(await readResponse(call(server, agent))).toEqual('one');
  await once([...sockets][0]!, 'close');
  expect(await readResponse(call(server, agent))).toEqual('one');
  expect(sockets.size).toEqual(2);
});

test('an endpoint that Node can not call is unreachable', async (context) => {
  const endpointCall = callPort(70_000, createAgent(context));
  const result = await endpointCall.result;
  expect(result.kind).toEqual('unreachable');
  endpointCall.abort();
});

test('a connection that was never established is distinguished from one that broke', async (context) => {
  const server = await startServer(context, (socket) => {
    socket.once('data', () => socket.destroy());
  });
  const agent = createAgent(context);
  const getResultKind = async (sendResult: Promise<SendResult>) => (await sendResult).kind;
  expect(await getResultKind(call(server, agent).result)).toEqual('broken');
  const port = getPort(server);
  server.close();
  await once(server, 'close');
  expect(await getResultKind(callPort(port, agent).result)).toEqual('unreachable');
});

// Failure: bodies that no caller waits for any more fill the memory that all responses share, and others are given up.
test('a body that is not needed any more gives its memory back at once, and is read to its end', async (context) => {
  const sockets: Socket[] = [];
  const server = await startServer(context, (socket) => {
    sockets.push(socket);
    socket.once('data', () =>
      socket.write(`${HEAD}Content-Length: 200000\r\n\r\n${'x'.repeat(100_000)}`),
    );
  });
  const endpointCall = call(server, createAgent(context));
  const result = await endpointCall.result;
  if (result.kind !== 'answered') {
    throw new Error(`not answered: ${result.kind}`);
  }
  const memory = new MemoryBudget({ limitBytes: 1_000_000 });
  const unneeded = new AbortController();
  const response = { message: result.response, isErrorFree: () => endpointCall.isErrorFree() };
  const body = readResponseBody(response, memory, unneeded.signal);
  while (memory.getUsedBytes() < 100_000) {
    // Polls for bytes that are on their way.
    await new SystemTimers().sleep(5);
  }
  unneeded.abort();
  expect(memory.getUsedBytes()).toEqual(0);
  sockets[0]!.write('x'.repeat(100_000));
  expect(await body).toEqual({ kind: 'discarded' });
  expect(memory.getUsedBytes()).toEqual(0);
});
