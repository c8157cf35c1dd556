/** Failure: an endpoint sends a damaged head, and the caller receives a 200 whose body is not the endpoint's whole one. */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { findHeadFault } from '../../src/gateway/forward/responseHead.js';
import { createRoute, GatewayFleet } from '../support/gatewayFleet.js';
import { RawCaller } from '../support/rawCaller.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
/** A sound start of a head; the endpoint replaces `CALL_ID`. */
const START =
  'HTTP/1.1 200 OK\r\nshallotrock-attempt-id: CALL_ID\r\nshallotrock-instance-seal: s\r\n';
const EVENT = 'id: 1\ndata: t1\n\n';
const ROUTES = ['/once/', '/again/', '/stream/'];

/** A damaged response; the connection ends in order after it. */
type DamagedResponse = readonly [name: string, text: string];

/** Sends each response on each route, on a new and on a kept connection, and expects that the caller notices. */
async function expectNoSuccess(
  context: TestContext,
  responses: readonly DamagedResponse[],
): Promise<void> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([
    createRoute('/once/'),
    createRoute('/again/', { repeatability: 'repeatable', attempts: 2 }),
    createRoute('/stream/', { isStream: true }),
  ]);
  const endpoint = await startRawEndpoint(context, (socket, { id }) => {
    const [, text] = responses[Number(id.split('-')[0])] ?? [];
    const sound = `${START}content-length: ${EVENT.length}\r\n\r\n${EVENT}`;
    socket.write((text ?? sound).replaceAll('CALL_ID', id));
    if (text !== undefined) {
      setTimeout(() => socket.end(), 5);
    }
  });
  await fleet.listEndpoint('e1', endpoint.port);
  const successes: string[] = [];
  let count = 0;
  for (const path of ROUTES) {
    for (const isKept of [false, true]) {
      for (const [index, [name]] of responses.entries()) {
        // Sequential, so that the kept connection is the only idle one.
        count += 1;
        if (isKept) {
          const { status, body } = await fleet.call(path);
          expect([status, body]).toEqual([200, EVENT]);
        }
        const caller = await RawCaller.connect(context, fleet.getPort());
        caller.send(path, `${index}-${count}`);
        await fleet.waitFor(() => isAnswered(caller));
        if (!/^HTTP\/1.1 502 /.test(caller.received)) {
          successes.push(`${name}, ${path}, kept ${isKept}: ${caller.received.slice(-90)}`);
        }
        caller.disconnect();
        // A kept connection that is about to end must not carry the next call.
        await fleet.waitFor(() => endpoint.sockets.size === 0);
      }
    }
  }
  expect(successes).toEqual([]);
  expect(endpoint.calls.length).toEqual(responses.length * ROUTES.length * 3);
}

/** Returns whether the gateway has ended the response by its length, its last chunk or the connection. */
function isAnswered({ received, isClosedByGateway }: RawCaller): boolean {
  const [head = '', body] = received.split(/\r\n\r\n(.*)/s);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isWhole =
    length === undefined ? received.endsWith('0\r\n\r\n') : body?.length === Number(length);
  return isClosedByGateway || (body !== undefined && isWhole);
}

test('a head that ends in CR without LF does not shorten the body', TIMEOUT, (context) =>
  expectNoSuccess(context, [
    ['without a length', `${START}\r${EVENT}`],
    ['with a length', `${START}content-length: ${EVENT.length - 1}\r\n\r${EVENT}`],
    ['before a second response', `${START}\r${START}content-length: 2\r\n\r\nok`],
    ['in the status line', `${START.replace('OK\r\n', 'OK\r')}\r\n${EVENT}`],
    ['after an interim response', `HTTP/1.1 103 Early\r\n\r\n${START}\r${EVENT}`],
  ]),
);

const ERROR_RESPONSE = `${START.replace('200 OK', '500 Error')}content-length: 2\r\n\r\nno`;

test('a head that stops before a second head does not pass on its status', TIMEOUT, (context) => {
  const head = `${START}content-type: text/plain\r\ncontent-length: 2\r\n\r`;
  // Without the first byte there is only the second response.
  const cuts = Array.from(head, (_, index) => head.slice(0, index + 1));
  return expectNoSuccess(context, [
    ...cuts.map((cut, index): DamagedResponse => [`cut ${index + 1}`, `${cut}${ERROR_RESPONSE}`]),
    [
      'a refusal before a success',
      `HTTP/1.1 503 Busy\r\nshallotrock-not-executed: 1\r\nx: ${START}content-length: 2\r\n\r\nok`,
    ],
    ['after an interim response', `HTTP/1.1 103 Early\r\n\r\n${START}x: y${ERROR_RESPONSE}`],
    ['inside an interim response', `HTTP/1.1 103 Early\r\nx: ${START}content-length: 2\r\n\r\nok`],
  ]);
});

test(
  'a response that switches protocols without a request to do so is a failure',
  TIMEOUT,
  (context) => {
    const sound = `${START}content-length: 2\r\n\r\nok`;
    const head = START.replace('200 OK', '101 Switching Protocols');
    return expectNoSuccess(context, [
      ['alone', `${head}\r\n`],
      ['before a response', `${head}\r\n${sound}`],
      ['after an interim response', `HTTP/1.1 103 Early\r\n\r\n${head}\r\n${sound}`],
      ['with an upgrade', `${head}connection: upgrade\r\nupgrade: x\r\n\r\n${sound}`],
    ]);
  },
);

test(
  'a body in a transfer coding other than chunked is not passed on as the body',
  TIMEOUT,
  (context) => {
    const chunks = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`;
    const codings = [
      'gzip',
      'identity',
      'xchunked',
      'chunked;q=1',
      'chunked, gzip',
      'gzip, chunked',
      'chunked, chunked',
      '',
      'chunked\r\ntransfer-encoding: gzip',
      'chunked\r\ntransfer-encoding: chunked',
    ];
    return expectNoSuccess(
      context,
      codings.map((coding) => [coding, `${START}transfer-encoding: ${coding}\r\n\r\n${chunks}`]),
    );
  },
);

test('each carriage return of a head needs its line feed', () => {
  const head = 'HTTP/1.1 103 Early\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\n\r\n';
  expect(findHeadFault(Buffer.from(`${head}body`))).toEqual(undefined);
  expect(findHeadFault(Buffer.from(`${head}body\rwith a CR`))).toEqual(undefined);
  const lineEnds = [...head.matchAll(/\n/g)].map(({ index }) => index);
  expect(lineEnds.length).toEqual(6);
  lineEnds.forEach((index) => {
    const damaged = `${head.slice(0, index)}${head.slice(index + 1)}`;
    expect(findHeadFault(Buffer.from(`${damaged}body`))).not.toEqual(undefined);
    expect(findHeadFault(Buffer.from(`${damaged}b\r\n\r\n`))).not.toEqual(undefined);
  });
});

test('a status line inside a line of the head is a fault, one in the body is not', () => {
  const find = (text: string) => findHeadFault(Buffer.from(text));
  expect(find('HTTP/1.1 200 OK\r\nx: HTTP/1.1 500 Error\r\n\r\n')).not.toEqual(undefined);
  expect(find('HTTP/1.1 200 HTTP/1.1 500 Error\r\n\r\n')).not.toEqual(undefined);
  expect(find('HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nvia: HTTP/1.1 proxy\r\n\r\n')).toEqual(
    undefined,
  );
  expect(find('HTTP/1.1 200 OK\r\nx: y\r\n\r\nx: HTTP/1.1 500 Error\r\n')).toEqual(undefined);
});

test('a head that switches protocols is a fault, an interim response is not', () => {
  const find = (text: string) => findHeadFault(Buffer.from(text));
  const head = 'HTTP/1.1 200 OK\r\n\r\n';
  expect(find('HTTP/1.1 101 Switching Protocols\r\n\r\n')).toEqual('head switches protocols');
  expect(find(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101\r\n\r\n${head}`)).not.toEqual(undefined);
  ['100 Continue', '102 Processing', '103 Early Hints', '199'].forEach((status) => {
    expect(find(`HTTP/1.1 ${status}\r\n\r\n${head}`)).toEqual(undefined);
  });
});

test('only the transfer coding chunked is accepted', () => {
  const find = (lines: string) => findHeadFault(Buffer.from(`HTTP/1.1 200 OK\r\n${lines}\r\n\r\n`));
  [
    'transfer-encoding: chunked',
    'Transfer-Encoding:CHUNKED ',
    'x-transfer-encoding: gzip',
    'te: gzip',
  ].forEach((lines) => {
    expect(find(lines)).toEqual(undefined);
  });
  [
    'transfer-encoding:',
    'Transfer-Encoding: gzip',
    'transfer-encoding: chunked\r\ntransfer-encoding: chunked',
  ].forEach((lines) => {
    expect(find(lines)).not.toEqual(undefined);
  });
});
