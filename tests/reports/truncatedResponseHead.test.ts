/** Failure: an endpoint stops inside the head of a response, and the caller receives a success without the whole body. */
import { test } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../support/fleetCalls.js';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 60_000 };
const LANES = 16; // calls at one time
const OPEN_LANES = 30; // each waits for the deadline; more delay each other in this process
const DEADLINE_MS = 600;
/** Beyond the deadline, on a busy machine. */
const ANSWER_MARGIN_MS = 1_500;
const SEAL = 'shallotrock-attempt-id: CALL_ID\r\nshallotrock-instance-seal: s\r\n';
const EVENT = 'id: 1\ndata: t1\n\n';
const BODY = `${EVENT}id: 2\ndata: t2\n\n`;
const LENGTH = `${SEAL}content-length: ${BODY.length}\r\n`;
const CHUNKS = [EVENT, BODY.slice(EVENT.length)].map((text) => `10\r\n${text}\r\n`);
const ROUTES = ['/once/', '/again/', '/stream/'];
/** What the endpoint does after the last byte that it sends. */
const ENDINGS = ['end', 'reset'] as const;

type Ending = (typeof ENDINGS)[number] | 'open';

/** A sound response, and how its body ends. */
interface Response {
  readonly name: string;
  readonly head: string;
  readonly body: string;
  /** Default 200. */
  readonly status?: number;
  readonly isCloseDelimited?: boolean;
}

const RESPONSES: readonly Response[] = [
  { name: 'length', head: `HTTP/1.1 200 OK\r\n${LENGTH}\r\n`, body: BODY },
  {
    name: 'chunked',
    head: `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`,
    body: `${CHUNKS.join('')}0\r\n\r\n`,
  },
  { name: 'close', head: `HTTP/1.1 200 OK\r\n${SEAL}\r\n`, body: BODY, isCloseDelimited: true },
  {
    name: 'interim',
    head: `HTTP/1.1 103 Early\r\nx: y\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${LENGTH}\r\n`,
    body: BODY,
  },
  { name: 'no content', head: `HTTP/1.1 204 No\r\n${SEAL}\r\n`, body: '', status: 204 },
  { name: 'not modified', head: `HTTP/1.1 304 Not\r\n${SEAL}\r\n`, body: '', status: 304 },
];

/** A response that stops after some bytes. */
interface TruncatedResponse {
  readonly response: Response;
  readonly sentBytes: number;
  readonly ending: Ending;
  readonly path: string;
  readonly isKept: boolean;
}

/** Each call on each kind of connection meets each orderly end of the first response, and in turn the other cases. */
function createCases(
  endings: readonly Ending[],
  isChosen: (sentBytes: number, text: string) => boolean,
): TruncatedResponse[] {
  const calls = ROUTES.flatMap((path) => [false, true].map((isKept) => ({ path, isKept })));
  return RESPONSES.flatMap((response) => {
    const text = response.head + response.body;
    const lengths = Array.from({ length: text.length + 1 }, (_, index) => index);
    return lengths
      .filter((sentBytes) => isChosen(sentBytes, text))
      .flatMap((sentBytes) =>
        endings.flatMap((ending) =>
          calls
            .filter((_, index) => {
              const isInEveryWay = response === RESPONSES[0] && ending === 'end';
              return isInEveryWay || isInTurn(index, sentBytes, text);
            })
            .map((call) => ({ ...call, response, sentBytes, ending })),
        ),
      );
  });
}

/** The whole response and its head alone are sent in every way. */
function isInTurn(index: number, sentBytes: number, text: string): boolean {
  const isBoundary = sentBytes === text.length || text.slice(0, sentBytes).endsWith('\r\n\r\n');
  return isBoundary || (index + sentBytes) % 6 === 0;
}

/** Returns the body that the caller may take for the whole one, or `undefined` if it must notice the truncation. */
function getWholeBody(truncated: TruncatedResponse): string | undefined {
  const { response, sentBytes, ending, path } = truncated;
  const body = response.body.slice(0, Math.max(0, sentBytes - response.head.length));
  if (!response.isCloseDelimited) {
    return sentBytes < response.head.length || body !== response.body
      ? undefined
      : BODY.slice(0, response.body.length);
  }
  // An orderly end is the only sign that such a body is whole; a stream must end after an event.
  // An empty one may as well have stopped after its head.
  const isWhole = path !== '/stream/' || body === EVENT || body === BODY;
  return ending === 'end' && body !== '' && isWhole ? body : undefined;
}

/** What a caller received, decoded without an HTTP library. */
interface Received {
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
}

function decode({ received }: RawCaller): Received {
  const [head = '', body = ''] = received.split(/\r\n\r\n(.*)/s);
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (/^transfer-encoding: chunked/im.test(head)) {
    const data = [...body.matchAll(/([0-9a-f]+)\r\n(.*?)\r\n(?=[0-9a-f]+\r\n)/gs)].map(
      ([, , text]) => text,
    );
    return { status, body: data.join(''), isWhole: /(^|\r\n)0\r\n\r\n$/.test(body) };
  }
  const isWhole = status === 204 || status === 304 || body.length === Number(length);
  return { status, body, isWhole: received.includes('\r\n\r\n') && isWhole };
}

/** Returns what is wrong with what the caller received, or `undefined`. */
function findFault(truncated: TruncatedResponse, received: Received): string | undefined {
  const whole = getWholeBody(truncated);
  const { status, body, isWhole } = received;
  const soundStatus = truncated.response.status ?? 200;
  if (isWhole && status === soundStatus) {
    return body === whole ? undefined : 'truncated response framed as whole';
  }
  if (whole !== undefined) {
    return 'whole response not passed on';
  }
  const isCutStream = truncated.path === '/stream/' && status === 200 && !isWhole;
  const isRefusal = status === (truncated.ending === 'open' ? 504 : 502) && isWhole;
  return isCutStream || isRefusal ? undefined : 'neither a refusal nor a cut stream';
}

const runs: readonly (readonly [string, TruncatedResponse[], number])[] = [
  ['that closes its connection', createCases(ENDINGS, () => true), LANES],
  [
    'that leaves its connection open',
    createCases(
      ['open'],
      (sentBytes, text) => sentBytes % 13 === 0 || /[\r\n]$/.test(text.slice(0, sentBytes)),
    ),
    OPEN_LANES,
  ],
];

runs.forEach(([name, cases, laneCount]) => {
  test(
    `after a head that stops at any byte the caller of an endpoint ${name} can tell`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      const timeoutMs = DEADLINE_MS;
      const isOpen = laneCount === OPEN_LANES;
      const fields = isOpen ? { timeoutMs } : {};
      await fleet.configure([
        createRoute('/once/', fields),
        createRoute('/again/', { ...fields, repeatability: 'repeatable', attempts: 2 }),
        createRoute('/stream/', { ...fields, isStream: true }),
      ]);
      const usedSockets = new WeakSet<object>();
      const truncatedIds = new Set<string>();
      const endpoint = await startRawEndpoint(context, (socket, { id }) => {
        const { response, sentBytes, ending, isKept } = cases[Number(id.split('-')[0])]!;
        if (isKept && !usedSockets.has(socket)) {
          usedSockets.add(socket);
          socket.write(`HTTP/1.1 200 OK\r\n${LENGTH.replace('CALL_ID', id)}\r\n${BODY}`);
          return;
        }
        if (socket.writableEnded) {
          return; // The gateway had not yet seen the end of the connection; the call is sent again.
        }
        truncatedIds.add(id);
        const text = `${response.head}${response.body}`.slice(0, sentBytes);
        socket.write(text.replace('CALL_ID', id));
        if (ending === 'end') {
          socket.end();
        } else if (ending === 'reset') {
          setTimeout(() => socket.resetAndDestroy(), 2);
        }
      });
      await fleet.listEndpoint('e1', endpoint.port);
      const faults: string[] = [];
      const check = async (index: number) => {
        const truncated = cases[index]!;
        const { response, sentBytes, ending, path, isKept } = truncated;
        for (let call = 0; !truncatedIds.has(`${index}-${call - 1}`); call += 1) {
          const startedAt = fleet.now();
          const caller = await RawCaller.connect(context, fleet.getPort());
          caller.send(path, `${index}-${call}`);
          while (!caller.isClosedByGateway && !decode(caller).isWhole) {
            await sleep(1);
          }
          caller.disconnect();
          const fault = truncatedIds.has(`${index}-${call}`)
            ? findFault(truncated, decode(caller))
            : undefined;
          const isLate = fleet.now() - startedAt > DEADLINE_MS + ANSWER_MARGIN_MS;
          if (fault !== undefined || (isOpen && isLate)) {
            faults.push(
              `${response.name}, ${sentBytes} bytes, ${ending}, ${path}, kept ${isKept}: ${fault ?? 'late'}, ${caller.received.slice(-60)}`,
            );
          }
        }
      };
      let next = 0;
      const runLane = async () => {
        while (next < cases.length) {
          next += 1;
          await check(next - 1);
        }
      };
      await Promise.all(Array.from({ length: laneCount }, runLane));
      expect(faults).toEqual([]);
      expect(truncatedIds.size).toEqual(cases.length);
      context.diagnostic(`${cases.length} truncated responses`);
    },
  );
});
