/** Failure: the copy of a refusal is taken for the answer to the same call when it runs again, and the call runs twice. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget } from '../../src/core/memoryBudget.js';
import { SystemTimers } from '../../src/core/timers.js';
import { EndpointAgent } from '../../src/gateway/forward/endpointAgent.js';
import { EndpointCall } from '../../src/gateway/forward/endpointCall.js';
import { createEntryFields, createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint, type RawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const CALL_ID = 'booking-17';
const RUN_MS = 20;
const REPEATS_MAX = 4;
const BACKOFF_MS = 200; // longer than an endpoint is avoided after a refusal
const CALLS = 8;
const MANY_CALLS = 600; // more than one connection carries
const COPY_DELAYS_MS = [0, 2, 6];
const timers = new SystemTimers();

interface BookingEndpoint extends RawEndpoint {
  /** How often each call ran. */
  readonly runs: Map<string, number>;
}

interface BookingOptions {
  readonly refusal: string;
  /** How long after the call the copy of its refusal arrives, in milliseconds. */
  readonly copyDelayMs: number;
}

/** Starts an endpoint that refuses a call once, and sends a copy of the refusal when a connection carries the call again. */
async function startBookingEndpoint(
  context: TestContext,
  { refusal, copyDelayMs }: BookingOptions,
): Promise<BookingEndpoint> {
  const runs = new Map<string, number>();
  const refusedIds = new Set<string>();
  const refusalsOf = new WeakMap<Socket, Set<string>>();
  const endpoint = await startRawEndpoint(context, async (socket, { id }) => {
    const refusedHere = refusalsOf.get(socket) ?? new Set();
    refusalsOf.set(socket, refusedHere);
    if (!refusedIds.has(id)) {
      refusedIds.add(id);
      refusedHere.add(id);
      socket.write(createAnswer(id, refusal));
      return;
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    if (refusedHere.has(id)) {
      await timers.sleep(copyDelayMs);
      socket.write(createAnswer(id, refusal));
    }
    await timers.sleep(RUN_MS);
    socket.write(createAnswer(id, '200 OK\r\nShallotrock-Instance-Seal: seal'));
  });
  return { ...endpoint, runs };
}

function createAnswer(id: string, head: string): string {
  return `HTTP/1.1 ${head}\r\nShallotrock-Attempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`;
}

/** Repeats a call under its id for as long as the answer promises that it has not run. */
async function callUntilRun(fleet: GatewayFleet, id = CALL_ID): Promise<number> {
  const statuses: number[] = [];
  while (statuses.length < REPEATS_MAX) {
    const { status } = await fleet.call('/a/x', { 'shallotrock-attempt-id': id });
    statuses.push(status);
    if (status !== 503 && status !== 429) {
      break;
    }
    await timers.sleep(BACKOFF_MS);
  }
  return statuses.at(-1)!;
}

['503 Full', '429 Busy'].forEach((status) => {
  COPY_DELAYS_MS.forEach((copyDelayMs) => {
    test(
      `the copy of a ${status}, ${copyDelayMs} ms late, does not run a repeated call twice`,
      TIMEOUT,
      async (context) => {
        const fleet = await GatewayFleet.start(context);
        await fleet.configure([createRoute('/a/')]);
        const refusal = `${status}\r\nShallotrock-Not-Executed: 1`;
        const endpoint = await startBookingEndpoint(context, { refusal, copyDelayMs });
        await fleet.listEndpoint('e1', endpoint.port);
        expect(await callUntilRun(fleet)).toEqual(200);
        expect(endpoint.runs.get(CALL_ID)).toEqual(1);
      },
    );
  });
});

COPY_DELAYS_MS.forEach((copyDelayMs) => {
  test(
    `the copy of a refusal, ${copyDelayMs} ms late, does not run a call twice that is sent to one address under two ids`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      await fleet.configure([createRoute('/a/')]);
      const refusal = '503 Full\r\nShallotrock-Not-Executed: 1';
      const endpoint = await startBookingEndpoint(context, { refusal, copyDelayMs });
      const full = await startRawEndpoint(context, async (socket, { id }) => {
        // By then, the connection to the other address is idle again.
        await timers.sleep(RUN_MS);
        socket.write(createAnswer(id, refusal));
      });
      await fleet.listEndpoint('before', endpoint.port);
      await fleet.listEndpoint('after', endpoint.port);
      await fleet.listEndpoint('full', full.port);
      // The order of the three attempts is random.
      for (let call = 0; call < CALLS; call += 1) {
        await callUntilRun(fleet, `${CALL_ID}-${call}`);
        await timers.sleep(BACKOFF_MS);
      }
      expect([...endpoint.runs.values()].filter((runs) => runs > 1)).toEqual([]);
      expect(endpoint.runs.size).toBeGreaterThan(CALLS / 2);
    },
  );
});

test('a connection that has carried many calls is closed', TIMEOUT, async (context) => {
  const agent = new EndpointAgent({ family: 4 });
  context.after(() => agent.destroy());
  const sockets = new Set<Socket>();
  const { port } = await startRawEndpoint(context, (socket, { id }) => {
    sockets.add(socket);
    socket.write(createAnswer(id, '200 OK'));
  });
  const callEndpoint = async (callId: string) => {
    const call = new EndpointCall({
      agent,
      timers,
      responseMemory: new MemoryBudget({ limitBytes: 1_000_000 }),
      callId,
      address: { host: '127.0.0.1', port },
      method: 'GET',
      target: '/',
      headers: ['Host', 'x', 'Shallotrock-Attempt-Id', callId],
      body: Buffer.alloc(0),
    });
    const result = await call.result;
    if (result.kind === 'answered') {
      result.response.resume();
      await once(result.response, 'close');
    }
    return call.isRepeatedOnConnection();
  };
  const isRepeated: boolean[] = [];
  for (let call = 0; call < MANY_CALLS; call += 1) {
    isRepeated.push(await callEndpoint(`call-${call}`));
  }
  expect(sockets.size).toBeGreaterThan(1);
  for (let call = MANY_CALLS - 20; call < MANY_CALLS; call += 1) {
    isRepeated.push(await callEndpoint(`call-${call}`));
  }
  expect(isRepeated).toEqual(isRepeated.map(() => false));
});

test(
  'a call is repeated over another connection, and other calls reuse theirs',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    const connections = new Map<string, Socket[]>();
    const endpoint = await startRawEndpoint(context, (socket, { id }) => {
      connections.set(id, [...(connections.get(id) ?? []), socket]);
      socket.write(createAnswer(id, '200 OK\r\nShallotrock-Instance-Seal: seal'));
    });
    fleet.putEndpointEntry('e1', JSON.stringify(createEntryFields(`127.0.0.1:${endpoint.port}`)));
    await fleet.waitForEntries();
    for (const id of ['one', 'two', 'one', 'two', 'three']) {
      expect((await fleet.call('/a/x', { 'shallotrock-attempt-id': id })).status).toEqual(200);
    }
    const [ones, twos, threes] = ['one', 'two', 'three'].map((id) => connections.get(id)!);
    expect(new Set(ones).size).toEqual(2);
    expect(new Set(twos).size).toEqual(2);
    expect(threes![0]).toEqual(ones![0]);
  },
);
