/**
 * Failure: a stream breaks off, and what follows at the next endpoint appears in the middle of the caller's stream, or
 * ends it as if it were complete.
 */
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { startRawEndpoint, type RawCall } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const LONG_TIMEOUT = { timeout: 120_000 };
const ROUTE = createRoute('/s/', { isStream: true, repeatability: 'resumable', attempts: 2 });
const SENT = 'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n';
const COMMENT = ': x\n\n';
const BREAK_OFF_MS = 80; // so late that the request does not count as one that crashes endpoints

/** What an endpoint writes in response to a call, and how its connection ends. */
interface Script {
  readonly text: (id: string) => string;
  readonly end: 'close' | 'reset';
}

/** What a caller received. */
interface Received {
  readonly body: string;
  /** Whether a caller would take the response for a complete one. */
  readonly isComplete: boolean;
  readonly status: number;
  /** Number of scripts that no call reached. */
  readonly unplayed: number;
}

const CUT: Received = { body: SENT, isComplete: false, status: 200, unplayed: 0 };

function createHead(id: string, status = '200 OK', type = 'text/event-stream'): string {
  const lines = [
    `HTTP/1.1 ${status}`,
    'shallotrock-instance-seal: s',
    `shallotrock-attempt-id: ${id}`,
    ...(type === '' ? [] : [`content-type: ${type}`]),
  ];
  return `${lines.join('\r\n')}\r\n`;
}

function createChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const brokenStream: Script = {
  text: (id) => `${createHead(id)}transfer-encoding: chunked\r\n\r\n${createChunk(SENT)}`,
  end: 'reset',
};

/** A gateway whose endpoints play the given scripts in the order of the calls. */
class ScriptedFleet {
  private readonly queue: Script[] = [];

  private callCount = 0;

  private constructor(
    private readonly context: TestContext,
    readonly fleet: GatewayFleet,
  ) {}

  /** Starts the given number of endpoints; those that broke off may be avoided in later calls. */
  static async start(context: TestContext, endpointCount: number): Promise<ScriptedFleet> {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([ROUTE]);
    const scripted = new ScriptedFleet(context, fleet);
    const names = Array.from({ length: endpointCount }, (_, index) => `e${index}`);
    await Promise.all(
      names.map(async (name) => {
        const answer = (socket: Socket, { id }: RawCall) => scripted.answer(socket, id);
        const { port } = await startRawEndpoint(context, answer);
        await fleet.listEndpoint(name, port);
      }),
    );
    await fleet.waitFor(() => fleet.gateway.directory.getSize() === endpointCount);
    return scripted;
  }

  /** Sends one call; endpoints play the scripts in order. */
  async play(scripts: readonly Script[], version = 'HTTP/1.1'): Promise<Received> {
    const { context, fleet } = this;
    this.callCount += 1;
    this.queue.splice(0, this.queue.length, ...scripts);
    const caller = await RawCaller.connect(context, fleet.getPort());
    caller.send(`/s/${this.callCount}`, `call-${this.callCount}`, 'body', 'body', version);
    const isWhole = () => caller.received.endsWith('0\r\n\r\n');
    await fleet.waitFor(() => isWhole() || caller.isClosedByGateway || caller.isReset);
    caller.disconnect();
    return parse(caller, this.queue.length);
  }

  private answer(socket: Socket, id: string): void {
    const script = this.queue.shift();
    socket.write(script?.text(id) ?? '');
    if (script?.end === 'close') {
      socket.end();
    } else {
      setTimeout(() => socket.resetAndDestroy(), BREAK_OFF_MS);
    }
  }
}

function parse({ received, isReset }: RawCaller, unplayed: number): Received {
  const [head = '', ...rest] = received.split('\r\n\r\n');
  const content = rest.join('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
  if (!/transfer-encoding: chunked/i.test(head)) {
    return { body: content, isComplete: !isReset, status, unplayed };
  }
  const body = content.replace(/[0-9a-f]+\r\n([^\r]*)\r\n/g, '$1');
  return { body, isComplete: content.endsWith('0\r\n\r\n'), status, unplayed };
}

/** Frames a body by its length, in chunks, and by the close of the connection. */
const framings = {
  length: (head: string, body: string) => `${head}content-length: ${body.length}\r\n\r\n${body}`,
  chunks: (head: string, body: string) =>
    `${head}transfer-encoding: chunked\r\n\r\n${body && createChunk(body)}0\r\n\r\n`,
  close: (head: string, body: string) => `${head}\r\n${body}`,
};

/** Creates a script for each framing and each end of the connection. */
function createScripts(status: string, type: string, body: string, fields = ''): Script[] {
  return Object.values(framings).flatMap((frame) =>
    (['close', 'reset'] as const).map((end) => ({
      text: (id) => frame(`${createHead(id, status, type)}${fields}`, body),
      end,
    })),
  );
}

/** Plays each script after a stream that broke off. */
async function continueWith(
  context: TestContext,
  scripts: readonly Script[],
  version?: string,
): Promise<Received[]> {
  const scripted = await ScriptedFleet.start(context, 2 * scripts.length);
  const results: Received[] = [];
  await scripts.reduce(async (previous, script) => {
    await previous;
    results.push(await scripted.play([brokenStream, script], version));
  }, Promise.resolve());
  return results;
}

/** Returns the scripts after which the caller's stream is anything but the events before the break, and cut. */
async function findOdd(
  context: TestContext,
  scripts: readonly (Script & { readonly name: string })[],
): Promise<string[]> {
  const results = await continueWith(context, scripts);
  const cut = JSON.stringify(CUT);
  return results.flatMap((result, index) => {
    const text = JSON.stringify(result);
    return text === cut
      ? []
      : [`${scripts[index]!.name} | ${scripts[index]!.text('id')} | ${text}`];
  });
}

const VERSIONS = ['HTTP/1.1', 'HTTP/1.0'];
VERSIONS.forEach((version) => {
  test(`a stream that can't continue is cut for an ${version} caller`, TIMEOUT, async (context) => {
    const scripted = await ScriptedFleet.start(context, 1);
    expect(await scripted.play([brokenStream], version)).toEqual(CUT);
  });
});

const EVENT_STREAM = 'text/event-stream';
const foreignBodies: readonly (readonly [string, string, string])[] = [
  ['a JSON text', 'application/json', '{"error":"x"}'],
  ['a JSON text with a blank line', 'application/json', '{"error":"x"}\n\n'],
  ['an HTML text with a blank line and no type', '', '<html>\n<p>x</p>\n\n</html>\n\n'],
  ['a plain text in a stream of events', EVENT_STREAM, 'upstream error: reset\n\n'],
  ['a JSON text in a stream of events', EVENT_STREAM, '{"error":"x"}\n\n'],
  ['a head', EVENT_STREAM, 'HTTP/1.1 500 Internal Server Error\r\nx: y\r\n\r\n'],
  ['an event without an id', EVENT_STREAM, 'event: error\ndata: {"error":"x"}\n\n'],
  ['an event of a stream that began again', EVENT_STREAM, 'id: 1\ndata: u1\n\nid: 3\ndata: u3\n\n'],
  ['an event with another type', 'application/json', 'id: 3\ndata: t3\n\n'],
  ['nothing with another type', 'application/json', ''],
];
test('a success with foreign bytes does not continue a stream', LONG_TIMEOUT, async (context) => {
  const scripts = foreignBodies.flatMap(([name, type, body]) =>
    createScripts('200 OK', type, body).map((script) => ({ ...script, name })),
  );
  expect(await findOdd(context, scripts)).toEqual([]);
});

const otherStatuses = [
  '201 Created',
  '202 Accepted',
  '204 No Content',
  '206 Partial Content',
  '302 Found',
  '304 Not Modified',
  '400 Bad Request',
  '402 Payment Required',
  '429 Too Many Requests',
  '500 Internal Server Error',
  '503 Service Unavailable',
  '504 Gateway Timeout',
];
const otherBodies = ['', 'data: {"error":"x"}\n\n', 'id: 3\ndata: t3\n\n'];
test(
  'a response with another status than the first does not continue a stream',
  LONG_TIMEOUT,
  async (context) => {
    const scripts = otherStatuses.flatMap((name) =>
      otherBodies.flatMap((body) =>
        createScripts(name, EVENT_STREAM, body).map((script) => ({ ...script, name })),
      ),
    );
    expect(await findOdd(context, scripts)).toEqual([]);
  },
);

test('a refusal of the endpoint does not appear in a stream', TIMEOUT, async (context) => {
  const scripts = ['400 Bad Request', '421 Misdirected', '429 x', '503 x'].flatMap((status) =>
    createScripts(status, '', '{"error":"x"}\n\n', 'shallotrock-not-executed: 1\r\n'),
  );
  expect(await continueWith(context, scripts)).toEqual(scripts.map(() => CUT));
});

test(
  'a continuation that ends with its connection before an event is not the end of a stream',
  TIMEOUT,
  async (context) => {
    const bodies = ['', COMMENT, 'id: 2\ndata: t2\n\n'];
    const scripts = bodies.map((body): Script => ({
      text: (id) => framings.close(createHead(id), body),
      end: 'close',
    }));
    // Comments are forwarded, but do not show that an endpoint runs the call.
    const expected = bodies.map((body) => ({
      ...CUT,
      body: SENT + (body === COMMENT ? body : ''),
    }));
    expect(await continueWith(context, scripts)).toEqual(expected);
  },
);

test(
  'a continuation that states its end may have nothing left to send',
  TIMEOUT,
  async (context) => {
    const scripts = [framings.length, framings.chunks].map((frame): Script => ({
      text: (id) => frame(createHead(id), ''),
      end: 'close',
    }));
    const whole = { ...CUT, isComplete: true };
    expect(await continueWith(context, scripts)).toEqual(scripts.map(() => whole));
  },
);

test('the last event may be repeated by the next endpoint', TIMEOUT, async (context) => {
  const body = 'id: 2\ndata: t2\n\nid: 3\ndata: t3\n\n';
  const scripts = [framings.length, framings.chunks, framings.close].map((frame): Script => ({
    text: (id) => frame(createHead(id), body),
    end: 'close',
  }));
  const whole = { ...CUT, body: `${SENT}id: 3\ndata: t3\n\n`, isComplete: true };
  expect(await continueWith(context, scripts)).toEqual(scripts.map(() => whole));
});
