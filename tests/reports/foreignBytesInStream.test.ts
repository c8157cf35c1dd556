/**
 * Failure: a stream breaks off, and what follows at the next endpoint appears in the middle of the caller's stream, or
 * ends it as if it were complete.
 */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const ROUTE = createRoute('/s/', { isStream: true, repeatability: 'resumable', attempts: 2 });
const SENT = 'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n';
const BREAK_OFF_MS = 30;

/** Writes a response and returns whether the connection closes in order after it. */
type Script = (id: string) => { readonly text: string; readonly end: 'close' | 'reset' | 'open' };

/** What a caller received. */
interface Received {
  readonly body: string;
  /** Whether a caller would take the response for a complete one. */
  readonly isComplete: boolean;
  readonly status: number;
}

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

/** Sends whole events in chunks and breaks off. */
const brokenStream: Script = (id) => ({
  text: `${createHead(id)}transfer-encoding: chunked\r\n\r\n${createChunk(SENT)}`,
  end: 'reset',
});

/** Sends a call to endpoints that play the scripts in the order of the calls. */
async function play(
  context: TestContext,
  scripts: readonly Script[],
  version = 'HTTP/1.1',
): Promise<Received> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([ROUTE]);
  const queue = [...scripts];
  const names = scripts.map((_, index) => `e${index}`);
  await names.reduce(async (previous, name) => {
    await previous;
    const endpoint = await startRawEndpoint(context, (socket, { id }) => {
      const { text, end } = queue.shift()!(id);
      socket.write(text);
      if (end === 'close') {
        socket.end();
      } else if (end === 'reset') {
        setTimeout(() => socket.resetAndDestroy(), BREAK_OFF_MS);
      }
    });
    await fleet.listEndpoint(name, endpoint.port);
  }, Promise.resolve());
  const caller = await RawCaller.connect(context, fleet.getPort());
  caller.send('/s/x', 'call-1', 'body', 'body', version);
  const isWhole = () => caller.received.endsWith('0\r\n\r\n');
  await fleet.waitFor(() => isWhole() || caller.isClosedByGateway || caller.isReset);
  return parse(caller);
}

function parse({ received, isReset }: RawCaller): Received {
  const [head = '', ...rest] = received.split('\r\n\r\n');
  const content = rest.join('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
  if (!/transfer-encoding: chunked/i.test(head)) {
    return { body: content, isComplete: !isReset, status };
  }
  const body = content.replace(/[0-9a-f]+\r\n([^\r]*)\r\n/g, '$1');
  return { body, isComplete: content.endsWith('0\r\n\r\n'), status };
}

['HTTP/1.1', 'HTTP/1.0'].forEach((version) => {
  test(`a stream that can't continue is cut for an ${version} caller`, TIMEOUT, async (context) => {
    const received = await play(context, [brokenStream], version);
    expect(received).toEqual({ body: SENT, isComplete: false, status: 200 });
  });
});
