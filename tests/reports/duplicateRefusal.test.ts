/** Failure: a late copy of an earlier refusal on a kept connection is taken for the response to the call that runs. */
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { decodeEndpointEntry } from '../../platform/endpointEntry.js';
import { SystemTimers } from '../../src/core/timers.js';
import { isAttributable } from '../../src/gateway/forward/endpointAttempt.js';
import type { Route } from '../../src/types/gateway.js';
import { brandId, type Offset } from '../../src/types/ids.js';
import {
  createEntryFields,
  createRoute,
  GatewayFleet,
  type CallerResponse,
} from '../support/gatewayFleet.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 60_000 };
const SEAL = 'shallotrock-instance-seal: s\r\n';
const NOT_EXECUTED = 'shallotrock-not-executed: 1\r\n';
const EVENT = 'id: 1\ndata: of second\n\n';

const IDS = {
  'no id': '',
  'the id of the earlier call': 'shallotrock-attempt-id: first\r\n',
  'an empty id': 'shallotrock-attempt-id:\r\n',
  'the ids of both calls': 'shallotrock-attempt-id: second\r\nshallotrock-attempt-id: first\r\n',
};
const EXTRAS = [
  '',
  'retry-after: 3\r\n',
  'server-leaving: 1\r\n',
  SEAL,
  'connection: close\r\n',
  `retry-after: 3\r\nserver-leaving: 1\r\n${SEAL}`,
];
const BODIES = [
  'content-length: 4\r\n\r\nbusy',
  'transfer-encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n',
  'content-length: 0\r\n\r\n',
  '\r\nbusy',
];

/** Returns the whole response of an endpoint that has run the call. */
function createAnswer(id: string, isStream: boolean): string {
  const body = isStream ? EVENT.replace('second', id) : `of ${id}`;
  const type = isStream ? 'content-type: text/event-stream\r\n' : '';
  return `HTTP/1.1 200 OK\r\n${type}shallotrock-attempt-id: ${id}\r\n${SEAL}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Where a copy or a response is cut into two segments: inside the status line, after it, and inside the headers. */
const CUTS = [5, 24, 60];
const SEGMENT_GAP_MS = 2;
const timers = new SystemTimers();

/** Returns copies of a refusal that differ in their other headers and in the framing of the body. */
function createCopies(status: number, id: string): string[] {
  return EXTRAS.flatMap((extra, index) => {
    const head = `HTTP/1.1 ${status} Refused\r\n${id}${extra}`;
    const body = BODIES[index % BODIES.length]!;
    return [`${head}${NOT_EXECUTED}${body}`, `${head}${body}`];
  });
}

/** Offset of the last entry; each case starts its endpoints anew. */
let offset = brandId<Offset>(0);

/** Lists an endpoint without the delay of the store, for tests with many endpoints. */
function listEndpoint(fleet: GatewayFleet, id: string, port: number): void {
  offset = brandId(offset + 1);
  const fields = { ...createEntryFields(`127.0.0.1:${port}`), born: offset };
  const entry = decodeEndpointEntry(id, Buffer.from(JSON.stringify(fields))).unwrap();
  fleet.gateway.directory.apply(entry, offset);
}

/** What an endpoint writes after its response to the call `first`, and for the call `second`, segment by segment. */
interface Script {
  readonly afterFirst?: string;
  readonly forSecond: readonly string[];
}

function selectEach<Item>(items: readonly Item[], step: number): Item[] {
  return items.filter((_, index) => index % step === 0);
}

/** Runs the call `second` after the call `first` on an endpoint, by default on the same connection. */
async function playSecondCall(
  fleet: GatewayFleet,
  context: TestContext,
  route: Partial<Route>,
  { afterFirst = '', forSecond }: Script,
): Promise<void> {
  const isStream = route.isStream ?? false;
  const sockets: Socket[] = [];
  const faulty = await startRawEndpoint(context, (socket, { id }) => {
    sockets.push(socket);
    if (id === 'first') {
      socket.write(`${createAnswer(id, isStream)}${afterFirst}`);
    }
  });
  listEndpoint(fleet, 'faulty', faulty.port);
  await fleet.call('/a/x', { 'shallotrock-attempt-id': 'first' });
  const call = fleet.call('/a/x', { 'shallotrock-attempt-id': 'second' }).catch(() => undefined);
  await fleet.waitFor(() => faulty.calls.length === 2);
  const isKept = sockets[1] === sockets[0];
  expect(isKept || afterFirst !== '').toEqual(true);
  const other = await startRawEndpoint(context, (socket) => {
    socket.write(createAnswer('second', isStream));
  });
  listEndpoint(fleet, 'other', other.port);
  for (const segment of isKept ? forSecond : [createAnswer('second', isStream)]) {
    sockets[1]!.write(segment);
    await timers.sleep(SEGMENT_GAP_MS);
  }
  const response = await call;
  const [instance] = fleet.gateway.directory.getEndpoints(fleet.service);
  const isRepeatable = route.repeatability === 'repeatable';
  expect({
    isTruthful: isTruthful(response, isStream ? EVENT : 'of second'),
    isRunTwice: other.calls.length > (isRepeatable ? 1 : 0),
    isLeaving: instance!.isLeaving,
    pausedUntil: instance!.pausedUntil,
    response,
  }).toEqual({
    isTruthful: true,
    isRunTwice: false,
    isLeaving: false,
    pausedUntil: 0,
    response,
  });
  ['faulty', 'other'].forEach((id) => fleet.gateway.directory.remove(brandId(id), offset));
}

/** Returns whether a caller whose call ran got its whole response, one that is visibly cut, or a refusal that says no more than is known. */
function isTruthful(response: CallerResponse | undefined, body: string): boolean {
  if (response?.status === 200) {
    return response.body === body || (!response.isComplete && body.startsWith(response.body));
  }
  return (
    response === undefined || (response.status === 502 && response.body.includes('"ran":"unknown"'))
  );
}

const ROUTES: readonly (readonly [string, Partial<Route>])[] = [
  ['call that runs once', {}],
  ['repeatable call', { repeatability: 'repeatable' }],
  ['stream', { isStream: true }],
];
const STATUSES = [408, 421, 429, 503, 400, 500];

test('a response without a call id belongs to a call only on a new connection', () => {
  const withoutId = { isCrossed: false, hasCallId: false };
  expect(isAttributable(withoutId, false)).toEqual(true);
  expect(isAttributable(withoutId, true)).toEqual(false);
  expect(isAttributable({ isCrossed: false, hasCallId: true }, true)).toEqual(true);
  expect(isAttributable({ isCrossed: true, hasCallId: true }, false)).toEqual(false);
});

ROUTES.forEach(([routeName, route]) => {
  Object.entries(IDS).forEach(([idName, id]) => {
    test(
      `a copy of an earlier refusal with ${idName} is not taken for the response to a ${routeName}`,
      TIMEOUT,
      async (context) => {
        const fleet = await GatewayFleet.start(context);
        await fleet.configure([createRoute('/a/', { attempts: 2, ...route })]);
        for (const copy of STATUSES.flatMap((status) => createCopies(status, id))) {
          const answer = createAnswer('second', route.isStream ?? false);
          await playSecondCall(fleet, context, route, { forSecond: [`${copy}${answer}`] });
        }
      },
    );
  });
});

ROUTES.forEach(([routeName, route]) => {
  test(
    `a copy of an earlier refusal that arrives in pieces or after a response does not end a ${routeName}`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      await fleet.configure([createRoute('/a/', { attempts: 2, ...route })]);
      const answer = createAnswer('second', route.isStream ?? false);
      const copies = STATUSES.flatMap((status) => createCopies(status, ''));
      const scripts = selectEach(copies, 11).flatMap((copy) => [
        { afterFirst: copy, forSecond: [answer] },
        ...CUTS.flatMap((cut) => {
          const [start, end] = [copy.slice(0, cut), copy.slice(cut)];
          return [
            { afterFirst: start, forSecond: [`${end}${answer}`] },
            { afterFirst: start, forSecond: [end, answer] },
            { forSecond: [start, end, answer] },
            { forSecond: [`${answer}${start}`, end] },
            { forSecond: [answer.slice(0, cut), `${answer.slice(cut)}${copy}`] },
          ];
        }),
        { forSecond: [`${answer}${copy}`] },
        { forSecond: [answer, copy] },
      ]);
      for (const script of scripts) {
        await playSecondCall(fleet, context, route, script);
      }
    },
  );
});

test('a copy of an earlier refusal inside a stream cuts the stream', TIMEOUT, async (context) => {
  const fleet = await GatewayFleet.start(context);
  const route = { isStream: true };
  await fleet.configure([createRoute('/a/', { attempts: 2, ...route })]);
  const head = `HTTP/1.1 200 OK\r\nshallotrock-attempt-id: second\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`;
  const event = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
  for (const copy of STATUSES.flatMap((status) => createCopies(status, ''))) {
    await playSecondCall(fleet, context, route, { forSecond: [`${head}${event}`, copy, event] });
    await playSecondCall(fleet, context, route, { forSecond: [head, `${copy}${event}`] });
  }
});
