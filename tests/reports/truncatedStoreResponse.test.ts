/** Failure: the response of the store or of a peer stops at a byte, and the part of it is taken for the whole. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { encodeKeyedRecord } from '../../platform/recordCodec.js';
import { StoreClient } from '../../platform/storeClient.js';
import { SystemTimers } from '../../src/core/timers.js';
import { HttpPeerClient } from '../../src/peers/peerRpc.js';
import { brandId, type Offset } from '../../src/types/ids.js';

const TIMEOUT = { timeout: 30_000 };
const TOPIC = { name: 'topic', part: 0 };
const FROM = 12 as Offset;
const FRAMINGS = ['length', 'chunks', 'close'] as const;
const ENDINGS = ['end', 'reset'] as const;

/** What the server sends next. */
interface Script {
  text: Buffer;
  ending: (typeof ENDINGS)[number];
}

/** Starts a server that sends the text of the script to each request, then ends the connection. */
async function startServer(context: TestContext): Promise<{ port: number; script: Script }> {
  const script: Script = { text: Buffer.alloc(0), ending: 'end' };
  const server = createServer((socket: Socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(script.text);
      if (script.ending === 'end') {
        socket.end();
      } else {
        setTimeout(() => socket.resetAndDestroy(), 1);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  return { port: (server.address() as AddressInfo).port, script };
}

function createResponse(framing: (typeof FRAMINGS)[number], status: number, body: Buffer): Buffer {
  const line = `HTTP/1.1 ${status} Status\r\n`;
  switch (framing) {
    case 'length':
      return Buffer.concat([Buffer.from(`${line}content-length: ${body.length}\r\n\r\n`), body]);
    case 'chunks': {
      const size = body.length.toString(16);
      const head = `${line}transfer-encoding: chunked\r\n\r\n${size}\r\n`;
      return Buffer.concat([Buffer.from(head), body, Buffer.from('\r\n0\r\n\r\n')]);
    }
    default:
      return Buffer.concat([Buffer.from(`${line}\r\n`), body]);
  }
}

/** Calls for each truncation of the response, and passes the result with the number of bytes that were missing. */
async function forEachTruncation(
  script: Script,
  [status, body]: readonly [number, Buffer],
  call: () => Promise<unknown>,
  check: (result: unknown, missingBytes: number, name: string) => void,
): Promise<void> {
  for (const framing of FRAMINGS) {
    const response = createResponse(framing, status, body);
    for (const ending of ENDINGS) {
      for (let sent = 0; sent <= response.length; sent += 1) {
        Object.assign(script, { text: response.subarray(0, sent), ending });
        // Sequential, since the server has one script.
        const result = await call();
        check(result, response.length - sent, `${framing}, ${ending}, ${status}, ${sent} bytes`);
      }
    }
  }
}

const value = Buffer.from('value');
const pageHead = Buffer.alloc(16);
pageHead.writeBigUInt64BE(15n, 0);
const page = Buffer.concat([
  pageHead,
  encodeKeyedRecord('a', value),
  encodeKeyedRecord('b', value),
]);

async function createStore(context: TestContext) {
  const { port, script } = await startServer(context);
  const address = { host: '127.0.0.1', port };
  const store = new StoreClient({ address, timers: new SystemTimers(), timeoutMs: 500 });
  context.after(() => store.close());
  return { store, script };
}

test('a truncated response to an append leaves its effect unknown', TIMEOUT, async (context) => {
  const { store, script } = await createStore(context);
  const call = () => store.append({ topic: TOPIC, key: 'k', value, at: FROM });
  const faults: string[] = [];
  const wholes: string[] = [];
  for (const status of [200, 412, 503, 429]) {
    const body = Buffer.from('{"offset":12,"endOffset":13}');
    await forEachTruncation(script, [status, body], call, (result, missingBytes, name) => {
      const { ok, val } = result as Awaited<ReturnType<typeof call>>;
      const kind = ok ? `stored up to ${val}` : (val as { kind: string }).kind;
      const whole = { 200: 'stored up to 13', 412: 'conflict' }[status] ?? 'refused';
      if (kind === whole && missingBytes === 0) {
        wholes.push(name);
      }
      // The head alone states the refusal.
      const isStated = kind === 'refused' && whole === 'refused' && name.startsWith('close');
      if (kind !== 'unavailable' && !(kind === whole && missingBytes === 0) && !isStated) {
        faults.push(`${name}: ${kind}`);
      }
    });
  }
  expect(faults).toEqual([]);
  expect(wholes.length).toBeGreaterThanOrEqual(4 * FRAMINGS.length);
});

test('a truncated page of the log holds no part of a record', TIMEOUT, async (context) => {
  const { store, script } = await createStore(context);
  const call = () => store.read({ topic: TOPIC, from: FROM, waitMs: 0 });
  const faults: string[] = [];
  let wholeCount = 0;
  await forEachTruncation(script, [200, page], call, (result, missingBytes, name) => {
    const { ok, val } = result as Awaited<ReturnType<typeof call>>;
    if (!ok) {
      return;
    }
    const { records, malformed, next, end } = val;
    wholeCount += missingBytes === 0 ? 1 : 0;
    const isSound =
      malformed.length === 0 &&
      end === 15 &&
      next === FROM + records.length &&
      records.every((record) => Buffer.from(record.value!).equals(value));
    // Reading goes on at `next`, so a page of fewer records is a shorter one.
    if (!isSound || (missingBytes > 0 && !name.startsWith('close'))) {
      faults.push(name);
    }
  });
  expect(faults).toEqual([]);
  expect(wholeCount).toBeGreaterThanOrEqual(FRAMINGS.length);
});

test('a truncated list of the newest records is a failure', TIMEOUT, async (context) => {
  const { store, script } = await createStore(context);
  const body = Buffer.from('{"entries":[{"key":"a","data":"YQ==","offset":1}],"endOffset":12}');
  const faults: string[] = [];
  let wholeCount = 0;
  const call = () => store.readNewest(TOPIC);
  await forEachTruncation(script, [200, body], call, (result, missingBytes, name) => {
    const { ok } = result as Awaited<ReturnType<typeof call>>;
    wholeCount += ok && missingBytes === 0 ? 1 : 0;
    if (ok && missingBytes > 0) {
      faults.push(name);
    }
  });
  expect(faults).toEqual([]);
  expect(wholeCount).toBeGreaterThanOrEqual(FRAMINGS.length);
});

test('a truncated response of a peer is a failure', TIMEOUT, async (context) => {
  const { port, script } = await startServer(context);
  const getAddress = () => `127.0.0.1:${port}`;
  const client = new HttpPeerClient({ sharedKey: 'k'.repeat(16), getAddress });
  context.after(() => client.close());
  const faults: string[] = [];
  let id = 0;
  const call = async () => {
    id += 1;
    // The client numbers its messages from 1.
    script.text = Buffer.from(script.text.toString().replace('#####', String(id).padStart(5, ' ')));
    const result = client.call(brandId('peer'), 'budget.settle', { hold: 'h', used: 0 });
    return result.then(
      () => true,
      () => false,
    );
  };
  let successes = 0;
  const body = Buffer.from('{"jsonrpc":"2.0","id":#####,"result":{}}');
  await forEachTruncation(script, [200, body], call, (isSuccess, missingBytes, name) => {
    successes += isSuccess ? 1 : 0;
    if (isSuccess && missingBytes > 0) {
      faults.push(name);
    }
  });
  expect(faults).toEqual([]);
  expect(successes).toBeGreaterThanOrEqual(FRAMINGS.length);
});
