/**
 * A machine that is stopped passes requests on from connections that it has closed itself: they run, and their answers are
 * lost. Each client has two kept connections and sends the next request on one as soon as it has the whole answer to the last.
 */
import { connect } from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  answerHeaders,
  BOUNDS,
  createAttemptId,
  Engine,
  HOST,
  runCase,
  sleep,
  Store,
} from '../lib/fleet.mjs';

const CLIENTS = 29; // the sheet: 25 to 35 a zone
const CONNECTIONS = 2; // of each client
const WORK_MS = 86; // the sheet: transfer-book, work ms
const EVENTS = 58; // the sheet: counter-quote, events out
const EVENT_MS = 20;
const RUN_S = 14;

const createRoute = (name, pathPrefix, service, fields) => ({
  name,
  hostname: HOST,
  pathPrefix,
  service,
  attempts: 1,
  public: true,
  sticky: false,
  resumable: false,
  priority: 2,
  ...fields,
});

const CONFIG = {
  version: 7,
  routes: [
    createRoute('r-book', '/puxa403/', 'wuno96b', {
      type: 'non_idempotent',
      timeoutMs: 1_500,
      latencyTargetMs: 386,
    }),
    createRoute('r-quote', '/lohu930/', 'huvo11a', {
      type: 'streaming',
      timeoutMs: 15_000,
      latencyTargetMs: 300,
      itlTargetMs: 200,
    }),
  ],
  services: [
    { name: 'huvo11a', healthPath: '/healthz', maxConns: 370, protocol: 'h1', tls: false },
    { name: 'wuno96b', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { recorder } = context;
  const hasTrouble = process.env.TROUBLE !== '0';
  const store = new Store();
  const storePort = await store.listen(0, '127.1.1.1');
  context.onEnd(() => store.dropConnections());
  store.put('keyed.op', 'config', CONFIG);

  const runs = new Map();
  const readWhole = (message) =>
    new Promise((resolve) => {
      message.resume();
      message.on('end', resolve);
    });
  async function book(engine, message, response) {
    await readWhole(message);
    runs.set(message.headers['shallotrock-attempt-id'], engine.id);
    await sleep(WORK_MS);
    response.writeHead(200, answerHeaders(message, { 'content-length': 800 }));
    response.end('b'.repeat(800));
  }
  async function quote(engine, message, response) {
    await readWhole(message);
    runs.set(message.headers['shallotrock-attempt-id'], engine.id);
    response.writeHead(200, answerHeaders(message, { 'content-type': 'text/event-stream' }));
    for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: ${'q'.repeat(55)}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  }
  const engines = [
    ...['127.1.2.1', '127.1.2.2', '127.1.2.3'].map(
      (host) => new Engine({ store, service: 'wuno96b', host, slots: 6, handle: book }),
    ),
    ...['127.1.2.4', '127.1.2.5', '127.1.2.6'].map(
      (host) => new Engine({ store, service: 'huvo11a', host, slots: 64, handle: quote }),
    ),
  ];
  for (const engine of engines) {
    await engine.start();
    context.onEnd(() => engine.stop());
  }
  const gateways = await context.startGateways(2, `127.1.1.1:${storePort}`);
  const [first] = gateways;
  await sleep(1_000);

  // The platform: each second it asks who is ready, and after two misses a machine gets no new connections.
  const misses = new Map(gateways.map((gateway) => [gateway, 0]));
  const probe = setInterval(() => {
    gateways.forEach(async (gateway) => {
      misses.set(gateway, (await gateway.isReady()) ? 0 : misses.get(gateway) + 1);
    });
  }, 1_000);
  context.onEnd(() => clearInterval(probe));
  const chooseGateway = () => gateways.find((gateway) => misses.get(gateway) < 2) ?? first;

  let isRunning = true;
  let termAt;
  const statuses = {};
  const lost = [];
  const count = (key) => {
    statuses[key] = (statuses[key] ?? 0) + 1;
  };
  const recordEnd = ({ id, kind, sentAt }, answer, endedAt) => {
    const engine = runs.get(id);
    count(engine ? 'connection ended, run' : 'connection ended, not run');
    recorder.write(
      `CLIENT ${id} ${kind}: connection ended without a whole answer, ${engine ? `run by ${engine}` : 'not run'}`,
    );
    if (engine !== undefined && termAt !== undefined) {
      const elapsed = endedAt - termAt;
      lost.push({
        text: `${kind} ${id}, sent ${sentAt - termAt} ms after SIGTERM, run by ${engine}, connection ended ${elapsed} ms after SIGTERM, ${answer.length} bytes of answer`,
        isExcused: elapsed > (BOUNDS.graceS * 1_000 * 5) / 6,
      });
    }
  };

  /** One kept connection of a client, used until either side closes it; resolves when it has ended. */
  const useConnection = () =>
    new Promise((resolve) => {
      const gateway = chooseGateway();
      const socket = connect({ host: gateway.ip, port: gateway.ports[0], noDelay: true });
      let current;
      let answer = '';
      const send = () => {
        const isBooking = Math.random() < 0.4;
        current = {
          id: createAttemptId(),
          kind: isBooking ? 'booking' : 'quote',
          sentAt: Date.now(),
        };
        answer = '';
        socket.write(
          [
            `POST ${isBooking ? '/puxa403/2f' : '/lohu930/2f'} HTTP/1.1`,
            `Host: ${HOST}`,
            `Shallotrock-Attempt-Id: ${current.id}`,
            `Shallotrock-Deadline-Ms: ${isBooking ? 3_000 : 15_000}`,
            `Content-Length: 600\r\n\r\n${'y'.repeat(600)}`,
          ].join('\r\n'),
        );
      };
      socket.on('connect', send);
      socket.on('data', (chunk) => {
        answer += chunk.toString('latin1');
        const headEnd = answer.indexOf('\r\n\r\n') + 4;
        const head = answer.slice(0, headEnd).toLowerCase();
        const length = /content-length: (\d+)/.exec(head)?.[1];
        const isWhole =
          headEnd > 4 &&
          (length === undefined
            ? answer.endsWith('0\r\n\r\n')
            : answer.length >= headEnd + Number(length));
        if (!isWhole) {
          return;
        }
        const status = head.slice(9, 12);
        count(status);
        recorder.write(
          `CLIENT ${current.id} ${current.kind}: ${status}, whole after ${Date.now() - current.sentAt} ms`,
        );
        current = undefined;
        if (head.includes('connection: close') || !isRunning) {
          socket.end();
        } else {
          send();
        }
      });
      socket.on('error', () => {});
      socket.on('close', () => {
        if (current !== undefined) {
          // The engine may have begun the request only just now.
          setTimeout(recordEnd, 200, current, answer, Date.now());
        }
        resolve();
      });
    });
  const clients = Array.from({ length: CLIENTS * CONNECTIONS }, async () => {
    while (isRunning) {
      await useConnection();
      await sleep(50);
    }
  });
  await sleep(3_000);
  if (hasTrouble) {
    termAt = Date.now();
    first.signal('SIGTERM');
    recorder.say(`${first.name} gets SIGTERM`);
  }
  await sleep(RUN_S * 1_000);
  isRunning = false;
  await Promise.all(clients);
  await sleep(500);
  if (hasTrouble) {
    recorder.say(`${first.name} has ended: ${JSON.stringify(first.ended)}`);
  }
  recorder.say(`what the clients saw: ${JSON.stringify(statuses)}`);
  lost.forEach(({ text, isExcused }) =>
    recorder.say(`LOST${isExcused ? ' (excused)' : ''}: ${text}`),
  );
  const counted = lost.filter(({ isExcused }) => !isExcused).length;
  return {
    isBroken: counted > 0,
    text: `${counted} requests were run by an engine and got no answer, as the machine closed the connection while it was stopped`,
  };
});
