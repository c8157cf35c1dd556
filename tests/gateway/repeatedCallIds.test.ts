/** Failure: the copy of a refusal is taken for the answer to the same call when it runs again, and the call runs twice. */
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { SystemTimers } from '../../src/core/timers.js';
import { createEntryFields, createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { startRawEndpoint, type RawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const CALL_ID = 'booking-17';
const RUN_MS = 20;
const REPEATS_MAX = 4;
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
async function callUntilRun(fleet: GatewayFleet): Promise<number> {
  const statuses: number[] = [];
  while (statuses.length < REPEATS_MAX) {
    const { status } = await fleet.call('/a/x', { 'shallotrock-attempt-id': CALL_ID });
    statuses.push(status);
    if (status !== 503 && status !== 429) {
      break;
    }
    // Longer than a refused endpoint is avoided.
    await timers.sleep(200);
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
    `the copy of a 421, ${copyDelayMs} ms late, does not run a call twice that is sent to one address under two ids`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      await fleet.configure([createRoute('/a/')]);
      const refusal = '421 Misdirected\r\nShallotrock-Not-Executed: 1';
      const endpoint = await startBookingEndpoint(context, { refusal, copyDelayMs });
      await fleet.listEndpoint('before', endpoint.port);
      await fleet.listEndpoint('after', endpoint.port);
      expect(await callUntilRun(fleet)).toEqual(200);
      expect(endpoint.runs.get(CALL_ID)).toEqual(1);
    },
  );
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
