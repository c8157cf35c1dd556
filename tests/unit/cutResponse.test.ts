/** Failure: a response without chunks that is cut ends as if it were complete over TLS, or leaves its connection open. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer, type Server as HttpServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { getRepositoryPath } from '../../launch/processes.js';
import { cutResponse } from '../../src/server/cutResponse.js';
import { connectToTlsServer, createTlsServer } from '../support/tlsPair.js';

const PART = 'data: t1\n\n';

/** Calls a server that cuts each response after a part of it; returns what the caller saw at the end. */
async function cutAfterPart(
  context: TestContext,
  server: HttpServer,
  open: (port: number) => Socket,
  version = 'HTTP/1.0',
): Promise<{ hasPart: boolean; isReset: boolean; isEnded: boolean; isClosed: boolean }> {
  let response: ServerResponse | undefined;
  server.on('request', (_, newResponse: ServerResponse) => {
    response = newResponse;
    response.writeHead(200);
    response.write(PART);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const caller = open((server.address() as AddressInfo).port);
  context.after(() => caller.destroy());
  const seen = { hasPart: false, isReset: false, isEnded: false, isClosed: false };
  caller.on('end', () => {
    seen.isEnded = true;
  });
  caller.on('error', ({ code }: NodeJS.ErrnoException) => {
    seen.isReset ||= code === 'ECONNRESET';
  });
  const closed = once(caller, 'close').catch(() => once(caller, 'close'));
  let received = '';
  caller.on('data', (bytes: Buffer) => {
    received += bytes.toString();
    if (!seen.hasPart && received.includes('t1')) {
      seen.hasPart = true;
      const responseClosed = once(response!, 'close');
      cutResponse(response!);
      void responseClosed.then(() => {
        seen.isClosed = true;
      });
    }
  });
  caller.write(`GET / ${version}\r\nhost: yard.example\r\n\r\n`);
  await closed;
  return seen;
}

const RESET = { hasPart: true, isReset: true, isEnded: false, isClosed: true };

test('a caller without chunks sees a reset when its response is cut', async (context) => {
  const open = (port: number) => connect(port, '127.0.0.1');
  expect(await cutAfterPart(context, createServer(), open)).toEqual(RESET);
});

test('a caller without chunks sees a reset when its response over TLS is cut', async (context) => {
  expect(await cutAfterPart(context, createTlsServer(), connectToTlsServer)).toEqual(RESET);
});

test(
  'a process ends after it has cut a response of a caller that ended its side',
  { timeout: 30_000 },
  async (context) => {
    const script = getRepositoryPath('dist/tests/support/cutEndedConnection.js');
    const child = spawn(process.execPath, [script], { stdio: 'ignore' });
    const ended = once(child, 'exit');
    // In the failure, the process ends only if it is killed.
    const killer = setTimeout(() => child.kill('SIGKILL'), 10_000);
    context.after(() => clearTimeout(killer));
    expect(await ended).toEqual([0, null]);
  },
);
