import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { expect } from 'earl';
import { setFaults, type Fleet } from '../../launch/fleet.js';
import {
  runAudit,
  sleep,
  getHeaders,
  getOrderRunCounts,
  parseStream,
  sendOrder,
  sendOrderUntilCreated,
  startChat,
  startReadyFleet,
  waitFor,
  waitUntilRulesActive,
  type ErrorResponse,
} from '../support/fleetCalls.js';

const TOKENS = 60;

let fleet: Fleet;

before(async () => {
  fleet = await startReadyFleet({
    engineArgs: ['--token-ms', '20', '--answer-tokens', String(TOKENS)],
    settings: { endpoints: { firstByteMs: 1_500, idleMs: 1_000 }, peers: { probeIntervalMs: 200 } },
  });
});
after(() => fleet.stop());

function getEngineUrls(): string[] {
  return fleet.engines.map(({ port }) => `http://127.0.0.1:${port}`);
}

async function setEngineFaults(faults: object): Promise<void> {
  await Promise.all(getEngineUrls().map((url) => setFaults(url, faults)));
}

/** Reads a stream; calls `act` once, after the first 400 characters. */
async function readAndActMidway(
  response: Response,
  act: () => void | Promise<void>,
): Promise<string> {
  const decoder = new TextDecoder();
  let text = '';
  let hasActed = false;
  for await (const chunk of response.body!) {
    text += decoder.decode(chunk, { stream: true });
    if (!hasActed && text.length > 400) {
      hasActed = true;
      await act();
    }
  }
  return text;
}

test('after an endpoint fails during a stream, another one completes the response', async () => {
  const expected = parseStream(await (await startChat(fleet.routerUrls[0]!, 'dies')).text());
  await setEngineFaults({ breakAfter: 20 });
  const response = await startChat(fleet.routerUrls[0]!, 'dies');
  const text = await readAndActMidway(response, () => setEngineFaults({ breakAfter: TOKENS + 1 }));
  expect(parseStream(text)).toEqual(expected);
  expect(expected.isComplete).toEqual(true);
});

test('after a connection stalls during a stream, another endpoint completes the response', async () => {
  const expected = parseStream(await (await startChat(fleet.routerUrls[1]!, 'silent')).text());
  const response = await startChat(fleet.routerUrls[1]!, 'silent');
  const text = await readAndActMidway(response, async () => {
    await setEngineFaults({ silent: true });
    await sleep(1_200);
    await setEngineFaults({ silent: false });
  });
  expect(parseStream(text)).toEqual(expected);
});

test('a response that belongs to another call never reaches the caller', async () => {
  const expected = parseStream(await (await startChat(fleet.routerUrls[2]!, 'crossed')).text());
  // Only two engines are faulty, so the third attempt reaches a working one.
  await Promise.all(
    getEngineUrls()
      .slice(0, 2)
      .map((url) => setFaults(url, { crossed: 1 })),
  );
  const text = await (await startChat(fleet.routerUrls[2]!, 'crossed')).text();
  await setEngineFaults({ crossed: 0 });
  expect(parseStream(text)).toEqual(expected);
});

// Failure: a router keeps the bytes of an event that never ends until it runs out of memory.
test('an event that does not end is given up, and later calls are answered', async () => {
  const expected = parseStream(await (await startChat(fleet.routerUrls[1]!, 'endless')).text());
  const engines = getEngineUrls();
  await setEngineFaults({ endless: 1 });
  const faulty = await startChat(fleet.routerUrls[1]!, 'endless');
  expect(parseStream(await faulty.text()).isComplete).toEqual(false);
  await setEngineFaults({ endless: 0 });
  const later = await (await startChat(fleet.routerUrls[1]!, 'endless')).text();
  expect(parseStream(later)).toEqual(expected);
  const sent = await Promise.all(
    engines.map(async (url) => {
      const response = await fetch(`${url}/control`, { method: 'POST', body: '{}' });
      return ((await response.json()) as { endlessBytes: number }).endlessBytes;
    }),
  );
  expect(Math.max(...sent)).toBeGreaterThan(0);
  // Includes the bytes in the socket buffers of both ends, beyond those that were read.
  expect(Math.max(...sent)).toBeLessThan(32 * 1_048_576);
});

test('no router sends new requests to an engine that announced that it is leaving', async () => {
  const [leaving] = getEngineUrls() as [string];
  await setFaults(leaving, { leaving: true });
  await Promise.all(
    Array.from({ length: 12 }, async (_, index) => {
      const response = await startChat(fleet.routerUrls[index % 3]!, `drain ${index}`);
      expect(parseStream(await response.text()).isComplete).toEqual(true);
    }),
  );
  const status = await (await fetch(`${leaving}/control`, { method: 'POST', body: '{}' })).json();
  await Promise.all(
    Array.from({ length: 12 }, async (_, index) => {
      await (await startChat(fleet.routerUrls[index % 3]!, `after ${index}`)).text();
    }),
  );
  const later = await (await fetch(`${leaving}/control`, { method: 'POST', body: '{}' })).json();
  expect(later).toEqual(status);
  await setFaults(leaving, { leaving: false });
});

test('SIGTERM does not truncate open streams', async () => {
  const [, , third] = fleet.routers;
  const responses = await Promise.all(
    Array.from({ length: 5 }, (_, index) => startChat(fleet.routerUrls[2]!, `drain ${index}`)),
  );
  third!.child.kill('SIGTERM');
  const texts = await Promise.all(responses.map((response) => response.text()));
  texts.forEach((text) => expect(parseStream(text).isComplete).toEqual(true));
  expect(await third!.exitCode).toEqual(0);
  fleet.routers[2] = await fleet.startRouter(3, third!.port);
  await waitUntilRulesActive(fleet.routerUrls[2]!);
});

test('an order whose body arrives after SIGTERM is refused and not run', async () => {
  const [, , third] = fleet.routers;
  const body = JSON.stringify({ item: 'late' });
  const socket = connect(third!.port, '127.0.0.1');
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  socket.write(
    [
      'POST /services/orders/orders HTTP/1.1',
      'host: yard.example',
      ...Object.entries(getHeaders({ 'idempotency-key': 'late' })).map((pair) => pair.join(': ')),
      `content-length: ${body.length}`,
      `\r\n${body.slice(0, 5)}`,
    ].join('\r\n'),
  );
  await waitFor(async () => {
    const metrics = await (await fetch(`${fleet.routerUrls[2]!}/metrics`)).text();
    return /open_requests(?:{[^}]*})? 1/.test(metrics);
  });
  third!.child.kill('SIGTERM');
  // The router closes idle connections, on one of which the question may be sent.
  await waitFor(() =>
    fetch(`${fleet.routerUrls[2]!}/readyz`).then(
      async (response) => (await response.text()).startsWith('draining'),
      () => false,
    ),
  );
  socket.write(body.slice(5));
  await once(socket, 'close');
  expect(received.startsWith('HTTP/1.1 503')).toEqual(true);
  expect((await getOrderRunCounts(fleet)).late).toEqual(undefined);
  expect(await third!.exitCode).toEqual(0);
  fleet.routers[2] = await fleet.startRouter(3, third!.port);
  await waitUntilRulesActive(fleet.routerUrls[2]!);
});

test('after kill -9 of a router during a stream, a retry at another router is complete', async () => {
  const [first] = fleet.routers;
  const response = await startChat(fleet.routerUrls[0]!, 'killed', { 'idempotency-key': 'killed' });
  const broken = readAndActMidway(response, () => {
    first!.child.kill('SIGKILL');
  });
  await expect(broken).toBeRejected();
  const retried = await startChat(fleet.routerUrls[1]!, 'killed', { 'idempotency-key': 'killed' });
  expect(parseStream(await retried.text()).isComplete).toEqual(true);
  await first!.exitCode;
  fleet.routers[0] = await fleet.startRouter(1, first!.port);
  await waitUntilRulesActive(fleet.routerUrls[0]!);
});

test('a router paused with SIGSTOP beyond every timeout runs no order twice after SIGCONT', async () => {
  const [first] = fleet.routers;
  const pending = Array.from({ length: 4 }, (_, index) =>
    sendOrder(fleet.routerUrls[0]!, `paused-${index}`).catch(() => undefined),
  );
  first!.child.kill('SIGSTOP');
  const others = fleet.routerUrls.slice(1);
  await Promise.all(
    pending.map(async (_, index) => {
      await sendOrder(others[index % 2]!, `paused-${index}`);
    }),
  );
  await sleep(2_500);
  first!.child.kill('SIGCONT');
  await Promise.all(pending);
  await Promise.all(
    pending.map((_, index) => sendOrderUntilCreated(`paused-${index}`, fleet.routerUrls)),
  );
  const runs = await getOrderRunCounts(fleet);
  pending.forEach((_, index) => expect(runs[`paused-${index}`]).toEqual(1));
});

test('no order runs twice when responses of the log are lost', async () => {
  await setFaults(fleet.logUrl, { loseAnswers: 6 });
  await Promise.all(
    Array.from({ length: 6 }, (_, index) =>
      sendOrderUntilCreated(`lost-${index}`, [fleet.routerUrls[index % 3]!]),
    ),
  );
  const runs = await getOrderRunCounts(fleet);
  Array.from({ length: 6 }, (_, index) => expect(runs[`lost-${index}`]).toEqual(1));
});

test('during a log outage, chats are served from allotments and orders are refused without running', async () => {
  await (await startChat(fleet.routerUrls[0]!, 'warm')).text();
  await setFaults(fleet.logUrl, { outage: true });
  await waitFor(async () => {
    const response = await sendOrder(fleet.routerUrls[0]!, 'outage');
    const errorBody = (await response.json()) as ErrorResponse;
    return response.status === 503 && errorBody.error.code === 'claimUnavailable';
  });
  const chat = await startChat(fleet.routerUrls[0]!, 'during the outage');
  expect(parseStream(await chat.text()).isComplete).toEqual(true);
  await setFaults(fleet.logUrl, { outage: false });
  await sendOrderUntilCreated('outage', fleet.routerUrls);
  expect((await getOrderRunCounts(fleet)).outage).toEqual(1);
});

test('a request that crashes engines is refused after two crashes, also when repeated', async () => {
  const prompt = 'CRASH-THE-ENGINE';
  const responses = await Promise.all([startChat(fleet.routerUrls[0]!, prompt)]);
  await Promise.all(responses.map((response) => response.text()));
  await sleep(1_000);
  const again = await startChat(fleet.routerUrls[1]!, prompt);
  expect(again.status).toEqual(422);
  const ended = fleet.engines.filter(({ child }) => child.exitCode !== null);
  expect(ended.length).toBeLessThanOrEqual(2);
  const innocent = await startChat(fleet.routerUrls[1]!, 'innocent');
  expect(parseStream(await innocent.text()).isComplete).toEqual(true);
});

test('the audit after these failures finds no violated guarantee', async () => {
  const result = await runAudit(fleet);
  expect(result.out).not.toInclude('BROKEN');
  expect(result.code).toEqual(0);
});
