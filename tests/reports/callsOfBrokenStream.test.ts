/** Failure: a stream breaks off early, and one call of a caller is sent to endpoints many times. */
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../support/fleetCalls.js';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { startRawEndpoint, type RawCall } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 60_000 };
const ATTEMPTS = 2;
const CALLS = 3;
/** So early that the break counts as a crash of the endpoint. */
const BREAK_OFF_MS = 30;
const OBSERVED_MS = 500;
const ROUTE = createRoute('/s/', {
  isStream: true,
  repeatability: 'resumable',
  attempts: ATTEMPTS,
});
const EVENT = 'id: 1\ndata: t1\n\n';

function createHead(status: string, id: string): string {
  return `HTTP/1.1 ${status}\r\nshallotrock-instance-seal: s\r\nshallotrock-attempt-id: ${id}\r\n`;
}

function breakOff(socket: Socket, { id }: RawCall): void {
  const head = `${createHead('200 OK', id)}content-type: text/event-stream\r\n`;
  const chunk = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
  socket.write(`${head}transfer-encoding: chunked\r\n\r\n${chunk}`);
  setTimeout(() => socket.resetAndDestroy(), BREAK_OFF_MS);
}

const nextAnswers = {
  'a 402 with a length': (socket: Socket, { id }: RawCall) =>
    socket.write(`${createHead('402 x', id)}content-length: 1\r\n\r\nx`),
  'a 402 whose connection is reset': (socket: Socket, { id }: RawCall) => {
    socket.write(`${createHead('402 x', id)}content-length: 1\r\n\r\nx`);
    setTimeout(() => socket.resetAndDestroy(), BREAK_OFF_MS);
  },
  'a 402 that ends with its connection': (socket: Socket, { id }: RawCall) =>
    socket.end(`${createHead('402 x', id)}\r\nx`),
  'a 402 without an id': (socket: Socket) =>
    socket.write('HTTP/1.1 402 x\r\ncontent-length: 1\r\n\r\nx'),
  'another broken stream': breakOff,
};

/** Returns how often endpoints received each call of a caller; every other answer is a stream that breaks off. */
async function countCalls(
  context: TestContext,
  answerNext: (socket: Socket, call: RawCall) => void,
): Promise<number[]> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([ROUTE]);
  let count = 0;
  const answer = (socket: Socket, call: RawCall) => {
    count += 1;
    (count % 2 === 1 ? breakOff : answerNext)(socket, call);
  };
  const names = Array.from({ length: 2 * CALLS }, (_, index) => `e${index}`);
  await Promise.all(
    names.map(async (name) => {
      const { port } = await startRawEndpoint(context, answer);
      await fleet.listEndpoint(name, port);
    }),
  );
  await fleet.waitFor(() => fleet.gateway.directory.getSize() === names.length);
  const counts: number[] = [];
  for (let call = 1; call <= CALLS; call += 1) {
    count = 0;
    const caller = await RawCaller.connect(context, fleet.getPort());
    caller.send(`/s/${call}`, `call-${call}`, `body ${call}`);
    await sleep(OBSERVED_MS);
    counts.push(count);
  }
  return counts;
}

Object.entries(nextAnswers).forEach(([name, answerNext]) => {
  const title = `a stream that breaks off early, then ${name}, is at most two calls`;
  test(title, TIMEOUT, async (context) => {
    const counts = await countCalls(context, answerNext);
    context.diagnostic(`calls: ${counts}`);
    expect(counts.filter((count) => count < 1 || count > ATTEMPTS)).toEqual([]);
  });
});
