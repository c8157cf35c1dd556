import type { IncomingMessage, ServerResponse } from 'node:http';
import { test } from 'node:test';
import { expect } from 'earl';
import { brandId } from '../../src/types/ids.js';
import { sendResponse, createRoute, GatewayFleet, sendEvents } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const repeatable = { repeatability: 'repeatable', attempts: 3 } as const;
const stream = { isStream: true, repeatability: 'resumable', attempts: 2 } as const;

test(
  'an endpoint whose response says that it is leaving gets no further calls',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const leaving = await fleet.addEndpoint('e1', (message, response) => {
      response.setHeader('server-leaving', '1');
      sendResponse(message, response, 'last');
    });
    expect((await fleet.call('/a/x')).body).toEqual('last');
    const other = await fleet.addEndpoint('e2', (message, response) =>
      sendResponse(message, response, 'other'),
    );
    expect(await fleet.callSequentially(5, '/a/x', {})).toEqual([200, 200, 200, 200, 200]);
    expect([leaving.calls.length, other.calls.length]).toEqual([1, 5]);
  },
);

test(
  'the leaving signal is also read from refusals, errors and streams',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', repeatable), createRoute('/s/', stream)]);
    const endpoints = await Promise.all([
      fleet.addEndpoint('refusing', (message, response) => {
        response.writeHead(503, { 'server-leaving': '1', 'shallotrock-not-executed': '1' }).end();
      }),
      fleet.addEndpoint('failing', (message, response) => {
        response.setHeader('server-leaving', '1');
        sendResponse(message, response, 'failed', 500);
      }),
    ]);
    await fleet.callSequentially(3, '/a/x', {});
    const streaming = await fleet.addEndpoint('streaming', (message, response) => {
      response.setHeader('server-leaving', '1');
      sendEvents(message, response, [1]);
      response.end();
    });
    const callerResponse = await fleet.call('/s/x');
    expect([callerResponse.status, callerResponse.isComplete]).toEqual([200, true]);
    const refused = await fleet.call('/s/x');
    expect(refused.status).toEqual(503);
    expect(endpoints.map(({ calls }) => calls.length)).toEqual([1, 1]);
    expect(streaming.calls.length).toEqual(1);
  },
);

test('a later start of an endpoint that left is a new instance', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  await fleet.addEndpoint('e1', (message, response) => {
    response.setHeader('server-leaving', '1');
    sendResponse(message, response, 'first');
  });
  await fleet.call('/a/x');
  const [entry] = fleet.gateway.directory.getEntries();
  fleet.gateway.directory.apply(
    { ...entry!, state: 'ready', sequence: entry!.sequence + 1 },
    brandId(entry!.offset + 1),
  );
  expect((await fleet.call('/a/x')).status).toEqual(503);
  fleet.gateway.directory.apply(
    { ...entry!, state: 'ready', startedAtMs: 2, sequence: 1 },
    brandId(entry!.offset + 2),
  );
  expect((await fleet.call('/a/x')).status).toEqual(200);
});

test(
  'an endpoint that sends retry-after gets no calls until that time has passed',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', repeatable)]);
    let isPausing = true;
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      if (isPausing) {
        isPausing = false;
        response.writeHead(503, { 'retry-after': '2.5', 'shallotrock-not-executed': '1' }).end();
      } else {
        sendResponse(message, response, 'room again');
      }
    });
    const first = await fleet.call('/a/x');
    expect(first.status).toEqual(503);
    // The refusal passes the endpoint's time on to the caller.
    expect(Number(first.headers['retry-after'])).toBeGreaterThan(2);
    const statuses = await fleet.callSequentially(5, '/a/x', {});
    expect(statuses).toEqual([503, 503, 503, 503, 503]);
    expect(endpoint.calls.length).toEqual(1);
    await fleet.waitFor(
      () => fleet.gateway.directory.getEndpoints('engines' as never)[0]!.pausedUntil < fleet.now(),
    );
    expect((await fleet.call('/a/x')).body).toEqual('room again');
  },
);

['soon', '-1', '1e999', '', 'Wed, 21 Oct 2026 07:28:00 GMT'].forEach((value) => {
  test(`a retry-after of '${value}' is ignored`, TIMEOUT, async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      response.writeHead(503, { 'retry-after': value, 'shallotrock-not-executed': '1' }).end();
    });
    await fleet.call('/a/x');
    expect(endpoint.calls.length).toEqual(1);
    const [endpointInstance] = fleet.gateway.directory.getEndpoints('engines' as never);
    expect(endpointInstance!.pausedUntil).toEqual(0);
  });
});

// Failure: an endpoint that had named a limit got as many calls as before.
test(
  'an endpoint that names a limit gets no more calls, on any route and for any reason',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', repeatable), createRoute('/s/', stream)]);
    const endpoint = await fleet.addEndpoint('e1', (message, response) => {
      response.setHeader('server-limit', '0.5');
      if (message.url === '/s/x') {
        sendEvents(message, response, [1]);
        response.end();
      } else {
        sendResponse(message, response, 'limited');
      }
    });
    expect((await fleet.call('/a/x')).headers['server-limit']).toEqual('0.5');
    const startedAt = fleet.now();
    const refusals = await Promise.all(
      ['/a/x', '/s/x', '/a/x', '/s/x'].map((path) => fleet.call(path)),
    );
    expect(refusals.map(({ status }) => status)).toEqual([503, 503, 503, 503]);
    const retryAfter = refusals.map(({ headers }) => Number(headers['retry-after']));
    expect(retryAfter.every((seconds) => seconds >= 0.5 && seconds <= 2)).toEqual(true);
    expect(new Set(retryAfter).size).toBeGreaterThan(1);
    expect(fleet.now() - startedAt).toBeLessThan(1_000);
    expect(endpoint.calls.length).toEqual(1);
  },
);

test(
  'a call goes to an endpoint without a limit, and a retry is not sent beyond one',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/', repeatable)]);
    const limited = await fleet.addEndpoint('limited', (message, response) => {
      response.setHeader('server-limit', '0');
      sendResponse(message, response, 'limited');
    });
    await fleet.call('/a/x');
    const refusing = await fleet.addEndpoint('refusing', (_, response) => {
      response.writeHead(503, { 'shallotrock-not-executed': '1' }).end();
    });
    expect((await fleet.call('/a/x')).status).toEqual(503);
    expect([limited.calls.length, refusing.calls.length]).toEqual([1, 1]);
  },
);

test(
  'a limit ends with a successful response that names none, not with a refusal or a value that cannot be used',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const heads: ((response: ServerResponse, message: IncomingMessage) => void)[] = [
      (response, message) => {
        response.setHeader('server-limit', '4');
        sendResponse(message, response, 'named');
      },
      (response) => {
        response.writeHead(503, { 'shallotrock-not-executed': '1' }).end();
      },
      (response, message) => {
        response.setHeader('server-limit', 'many');
        sendResponse(message, response, 'malformed');
      },
      (response, message) => sendResponse(message, response, 'ended'),
    ];
    await fleet.addEndpoint('e1', (message, response) => heads.shift()!(response, message));
    const [endpoint] = fleet.gateway.directory.getEndpoints(fleet.service);
    const states: boolean[] = [];
    while (heads.length > 0) {
      const left = heads.length;
      await fleet.call('/a/x');
      if (heads.length < left) {
        states.push(endpoint!.limit.isInForce());
      }
    }
    expect(states).toEqual([true, true, true, false]);
  },
);

test('another start of an endpoint has no limit', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/')]);
  const endpoint = await fleet.addEndpoint('e1', (message, response) => {
    response.setHeader('server-limit', '0');
    sendResponse(message, response, 'limited');
  });
  await fleet.call('/a/x');
  const [entry] = fleet.gateway.directory.getEntries();
  const { offset } = entry!;
  fleet.gateway.directory.apply({ ...entry!, startedAtMs: 2 }, brandId(offset + 1));
  expect((await fleet.call('/a/x')).status).toEqual(200);
  expect(endpoint.calls.length).toEqual(2);
});

test(
  'a call goes first to an endpoint that has room below its limit, and to the others beyond it',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const limited = await fleet.addEndpoint('limited', (message, response) => {
      response.setHeader('server-limit', '2');
      sendResponse(message, response, 'limited');
    });
    await fleet.call('/a/x');
    const other = await fleet.addEndpoint('other', (message, response) =>
      sendResponse(message, response, 'other'),
    );
    const [endpoint] = fleet.gateway.directory.getEndpoints(fleet.service);
    await fleet.waitFor(() => endpoint!.isEligible(fleet.now()));
    expect((await fleet.call('/a/x')).body).toEqual('limited');
    expect((await fleet.call('/a/x')).body).toEqual('other');
    expect([limited.calls.length, other.calls.length]).toEqual([2, 1]);
  },
);
