import { test } from 'node:test';
import { expect } from 'earl';
import { sendResponse, createRoute, GatewayFleet, sendEvents } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const TOKENS = { 'shallotrock-token-usage': '100,50' };
const stream = { isStream: true, repeatability: 'resumable', attempts: 2 } as const;

test(
  'before the first configuration a call is refused with retry-after',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    const callerResponse = await fleet.call('/a/x');
    expect(callerResponse.status).toEqual(503);
    expect(Number(callerResponse.headers['retry-after'])).toBeGreaterThan(0);
    expect(await fleet.getReadiness()).toEqual(503);
  },
);

test(
  'a call reaches an endpoint of its route with the workspace of its key',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) =>
      sendResponse(message, response, 'done'),
    );
    const callerResponse = await fleet.call('/a/x?y=1', { 'shallotrock-tenant': 'forged' });
    expect([callerResponse.status, callerResponse.body]).toEqual([200, 'done']);
    const [call] = endpoint.calls;
    expect(call?.url).toEqual('/a/x?y=1');
    expect(call?.headers['shallotrock-tenant']).toEqual('yard');
    expect(call?.headers['shallotrock-expect-instance']).toEqual('e1');
    expect(call?.headers['shallotrock-credential']).toEqual(undefined);
    expect((await fleet.call('/b/x')).status).toEqual(404);
    expect((await fleet.call('/a/x', { 'shallotrock-credential': 'other' })).status).toEqual(401);
    expect(await fleet.getReadiness()).toEqual(200);
  },
);

test('a removed key is refused from the next call on', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  await fleet.addEndpoint('e1', (message, response) => sendResponse(message, response, 'done'));
  expect((await fleet.call('/a/x')).status).toEqual(200);
  await fleet.configure([createRoute('/a/')], 100_000, 'another-key');
  expect((await fleet.call('/a/x')).status).toEqual(401);
});

test(
  'a non-repeatable call whose connection breaks is not sent again',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoints = await Promise.all(
      ['e1', 'e2'].map((id) => fleet.addEndpoint(id, (message) => message.socket.destroy())),
    );
    const callerResponse = await fleet.call('/a/x');
    expect(callerResponse.status).toEqual(502);
    expect(endpoints.flatMap(({ calls }) => calls).length).toEqual(1);
  },
);

test(
  'a 503 without the not-executed header is not passed on to the caller',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    await fleet.addEndpoint('e1', (message, response) =>
      sendResponse(message, response, 'busy', 503),
    );
    expect((await fleet.call('/a/x')).status).toEqual(502);
  },
);

test('a call that an endpoint did not execute goes to another one', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  let runs = 0;
  const refuseFirst = (id: string) =>
    fleet.addEndpoint(id, (message, response) => {
      runs += 1;
      if (runs === 1) {
        response.writeHead(503, { 'shallotrock-not-executed': '1' }).end();
      } else {
        sendResponse(message, response, 'done');
      }
    });
  await refuseFirst('e1');
  await refuseFirst('e2');
  expect((await fleet.call('/a/x')).status).toEqual(200);
  expect(runs).toEqual(2);
});

test(
  'a response for another call or without a signature is not passed on',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    let isCrossed = true;
    await fleet.addEndpoint('e1', (_, response) => {
      const headers = isCrossed
        ? { 'shallotrock-attempt-id': 'other', 'shallotrock-instance-seal': 's' }
        : {};
      response.writeHead(200, headers).end('wrong');
    });
    expect((await fleet.call('/a/x')).status).toEqual(502);
    isCrossed = false;
    expect((await fleet.call('/a/x')).status).toEqual(502);
  },
);

test(
  'a stream that breaks resumes on another endpoint after its last event',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', stream)]);
    const lastIds: unknown[] = [];
    const handle = (id: string) =>
      fleet.addEndpoint(id, (message, response) => {
        const last = message.headers['last-event-id'];
        lastIds.push(last);
        if (last === undefined) {
          sendEvents(message, response, [1, 2]);
          response.write('id: 3\nda');
          setTimeout(() => message.socket.destroy(), 20);
        } else {
          sendEvents(message, response, [3, 4]);
          response.end();
        }
      });
    await handle('e1');
    await handle('e2');
    const callerResponse = await fleet.call('/a/x', TOKENS);
    expect(callerResponse.isComplete).toEqual(true);
    expect(callerResponse.body.match(/id: \d/g)).toEqual(['id: 1', 'id: 2', 'id: 3', 'id: 4']);
    expect(lastIds).toEqual([undefined, '2']);
  },
);

test('a stream that cannot be resumed is cut without a proper end', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { ...stream, repeatability: 'once' })]);
  const handle = (id: string) =>
    fleet.addEndpoint(id, (message, response) => {
      sendEvents(message, response, [1]);
      setTimeout(() => message.socket.destroy(), 20);
    });
  await handle('e1');
  await handle('e2');
  const callerResponse = await fleet.call('/a/x', TOKENS);
  expect([callerResponse.status, callerResponse.isComplete]).toEqual([200, false]);
});

test(
  'calls are served until the balance no longer covers them, and then refused',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', stream)], 400);
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      sendEvents(message, response, [1]);
      response.end();
    });
    // Each call uses 100 tokens of input and 5 of output, of 400 in total.
    const statuses = await fleet.callSequentially(5, '/a/x', TOKENS);
    expect(statuses).toEqual([200, 200, 200, 402, 402]);
    const huge = await fleet.call('/a/x', { 'shallotrock-token-usage': '999999999999999,1' });
    expect(huge.status).toEqual(400);
    expect(endpoint.calls.length).toEqual(3);
  },
);

// Failure: blank lines and comments of a faulty endpoint used up a prepaid total, as each was charged like an event.
test('comments and blank lines of a stream are not charged', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', stream)], 400);
  await fleet.addEndpoint('e1', (message, response) => {
    sendEvents(message, response, [1]);
    response.end(':\n\n\n\n'.repeat(50));
  });
  // Each call uses 100 tokens of input and 5 of output, of 400 in total, and declares 150.
  const statuses = await fleet.callSequentially(4, '/a/x', TOKENS);
  expect(statuses).toEqual([200, 200, 200, 402]);
});

test(
  'a call without delivered output is free, and one with output is charged its input once',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { isStream: true })], 400);
    const modes = ['break', 'break', 'serve', 'serve', 'serve'];
    await fleet.addEndpoint('e1', (message, response) => {
      if (modes.shift() === 'break') {
        message.socket.destroy();
        return;
      }
      sendEvents(message, response, [1]);
      response.end();
    });
    const statuses = await fleet.callSequentially(6, '/a/x', TOKENS);
    expect(statuses).toEqual([502, 502, 200, 200, 200, 402]);
  },
);

test(
  'a buffered response is charged its input and the declared maximum of output',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')], 400);
    await fleet.addEndpoint('e1', (message, response) => sendResponse(message, response, 'done'));
    const statuses = await fleet.callSequentially(3, '/a/x', TOKENS);
    expect(statuses).toEqual([200, 200, 402]);
  },
);

test(
  'a stopping gateway is not ready, closes connections after their responses and cuts none',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const pendingResponses: (() => void)[] = [];
    await fleet.addEndpoint('e1', (message, response) => {
      pendingResponses.push(() => sendResponse(message, response, 'done'));
    });
    const first = fleet.call('/a/x');
    await fleet.waitFor(() => pendingResponses.length === 1);
    const stopped = fleet.gateway.stop();
    expect(await fleet.getReadiness()).toEqual(503);
    const second = fleet.call('/a/x');
    await fleet.waitFor(() => pendingResponses.length === 2);
    pendingResponses.forEach((respond) => respond());
    const callerResponses = await Promise.all([first, second]);
    expect(callerResponses.map(({ status }) => status)).toEqual([200, 200]);
    expect(callerResponses[1]?.headers.connection).toEqual('close');
    await stopped;
  },
);

test(
  'a call that arrives while the gateway drains is refused before it reaches an endpoint',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) =>
      sendResponse(message, response, 'done'),
    );
    // Only starts draining, so that the call is read, like one on a connection that was busy at that time.
    fleet.gateway.server.startDraining();
    const callerResponse = await fleet.call('/a/x');
    expect([callerResponse.status, callerResponse.headers.connection]).toEqual([503, 'close']);
    expect(endpoint.calls.length).toEqual(0);
  },
);

test(
  'a call whose caller disconnected before it was read reaches no endpoint',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', { repeatability: 'repeatable' })]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) =>
      sendResponse(message, response, 'done'),
    );
    // Leaves an idle connection to the endpoint, on which a call would be sent at once.
    await fleet.call('/a/x');
    await fleet.callAndDisconnect('/a/left');
    await fleet.call('/a/x');
    await fleet.call('/a/x');
    expect(endpoint.calls.map(({ url }) => url)).toEqual(['/a/x', '/a/x', '/a/x']);
  },
);
