/**
 * A prepaid budget is overspent after the store didn't answer one append of a machine and turned away its next ones.
 * Prints the account records, the refused calls and what the tenant got.
 */
import { createServer } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { decodeHolderRecord } from '../../dist/src/escrow/holderRecord.js';
import {
  answerHeaders,
  callGateway,
  CannotRun,
  createAgent,
  Engine,
  HOST,
  refuse,
  runCase,
  sleep,
  Store,
} from '../lib/fleet.mjs';

const PREPAID = 400_000;
const PROMPT_TOKENS = 1_000;
const OUTPUT_TOKENS = 200;
const TOKENS_PER_EVENT = 5;
const EVENTS = OUTPUT_TOKENS / TOKENS_PER_EVENT;
const LATE_MS = 1_500; // "done 1 to 6 s later"
const TURNED_AWAY_MS = 8_500; // the pages' days: 9 s, a third of the machines

const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'r-quote',
      hostname: HOST,
      pathPrefix: '/lohu930/',
      type: 'streaming',
      timeoutMs: 15_000,
      latencyTargetMs: 300,
      priority: 0,
      service: 'huvo11a',
      attempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      itlTargetMs: 200,
    },
  ],
  services: [
    {
      name: 'huvo11a',
      healthPath: '/healthz',
      maxConns: 370,
      protocol: 'h1',
      tls: false,
      backendType: {
        slots: 64,
        kvCapacity: 628_815,
        stride: TOKENS_PER_EVENT,
        models: [{ name: 'm' }],
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'hule930', apiKeys: ['key-1'], prepaid: PREPAID }],
};

/** Streams the whole answer of a request, one event every few milliseconds. */
function stream(engine, message, response) {
  message.resume();
  message.on('end', async () => {
    engine.runs.push(message.headers['shallotrock-attempt-id']);
    response.writeHead(200, answerHeaders(message, { 'content-type': 'text/event-stream' }));
    for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: ${'x'.repeat(20)}\n\n`);
      await sleep(3);
    }
    response.end();
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { recorder } = context;
  const hasTrouble = process.env.TROUBLE !== '0';
  const store = new Store();
  store.put('keyed.op', 'config', CONFIG);
  const engines = ['127.1.2.1', '127.1.2.2'].map(
    (host) => new Engine({ store, service: 'huvo11a', host, handle: stream }),
  );
  for (const engine of engines) {
    await engine.start();
    context.onEnd(() => engine.stop());
  }

  let troubled; // the gateway that the store doesn't answer
  let returnedAt; // when it sent the first record of the quiet time that returns tokens
  let lastClaim = 0;
  let isArmed = false;
  let isTurnedAway = false;
  store.intercept = async ({ url, body, message, response }) => {
    // With READS=1 only the machine's writing calls are rejected.
    const isRead = !body && message.machine === 0;
    if (isRead && isTurnedAway && process.env.READS !== '1') {
      if (Date.now() - returnedAt < TURNED_AWAY_MS) {
        refuse(response, 429);
        return true;
      }
    }
    if (url.searchParams.get('topic') !== 'keyed.accounts' || !body) {
      return false;
    }
    const key = body.toString('utf8', 5, 5 + body[4]);
    const { run, sequence, balances } = decodeHolderRecord(body.subarray(5 + body[4])).val;
    const { claimed, activated, settled } = balances.get('hule930') ?? {};
    const at = url.searchParams.get('at');
    const text = `${key} append at ${at}: record ${sequence} claimed ${claimed} activated ${activated} settled ${settled}`;
    const isTroubled = troubled !== undefined && key.endsWith(`@${troubled.ip}`);
    if (isTroubled && isArmed && returnedAt === undefined && claimed < lastClaim) {
      returnedAt = Date.now();
      if (!hasTrouble) {
        recorder.say(`STORE answers ${text}`);
        return false;
      }
      recorder.say(`STORE no answer to ${text}`);
      setTimeout(() => {
        const isDone = store.tryAppend(url, body);
        recorder.say(`STORE ${isDone ? 'has done late' : 'has not done (condition)'}: ${text}`);
      }, LATE_MS);
      return true;
    }
    if (hasTrouble && isTroubled && Date.now() - returnedAt < TURNED_AWAY_MS) {
      isTurnedAway = true;
      recorder.write(`STORE 429 to ${text}`);
      refuse(response, 429);
      return true;
    }
    if (isTroubled) {
      lastClaim = claimed;
    }
    recorder.write(`STORE ${text} of ${run}`);
    return false;
  };

  // The store's address for each machine, so that the store knows who calls.
  const addresses = [];
  for (let machine = 0; machine < 3; machine += 1) {
    const server = createServer((message, response) => {
      store.handle(Object.assign(message, { machine }), response).catch(() => response.destroy());
    });
    await new Promise((resolve) => {
      server.listen(0, `127.1.3.${40 + machine}`, resolve);
    });
    addresses.push(`127.1.3.${40 + machine}:${server.address().port}`);
  }
  const gateways = await context.startGateways(3, addresses);
  const [first, ...others] = gateways;
  troubled = first;

  const agents = new Map(gateways.map((gateway) => [gateway, createAgent()]));
  const calls = [];
  const send = async (gateway) => {
    const result = await callGateway({
      gateway,
      path: '/lohu930/2f',
      agent: agents.get(gateway),
      headers: {
        'shallotrock-model': 'm',
        'shallotrock-token-usage': `${PROMPT_TOKENS},${OUTPUT_TOKENS}`,
        'shallotrock-prompt-prefix': `5c1e07a2:600,${Math.random().toString(16).slice(2, 10)}:400`,
      },
    });
    const events = (result.body.match(/^id: /gm) ?? []).length;
    const tokens = events > 0 ? PROMPT_TOKENS + events * TOKENS_PER_EVENT : 0;
    calls.push({ gateway, status: result.status, tokens });
    recorder.write(
      `CLIENT ${result.id} at ${gateway.name}: ${result.status} ${result.error ?? 'whole'}, ${events} events, ${tokens} tokens`,
    );
  };
  /** Sends requests at a steady rate and waits until all are answered. */
  const load = async (targets, perSecond, durationMs) => {
    const open = [];
    const count = Math.round((perSecond * durationMs) / 1000);
    for (let index = 0; index < count; index += 1) {
      open.push(send(targets[index % targets.length]));
      await sleep(1000 / perSecond);
    }
    await Promise.all(open);
  };
  const getSpent = () => calls.reduce((sum, { tokens }) => sum + tokens, 0);
  const report = (phase) =>
    recorder.say(`${phase}: the tenant has got ${getSpent()} of ${PREPAID} tokens`);

  await load([first], 20, 4_000);
  report('morning, all clients at the first machine');
  isArmed = true;
  // A quiet time, in which the first machine returns tokens; the trouble begins with that.
  for (let waited = 0; waited < 15_000 && returnedAt === undefined; waited += 50) {
    await sleep(50);
  }
  if (returnedAt === undefined) {
    throw new CannotRun('the first machine returned no tokens');
  }
  await sleep(LATE_MS + 500);
  report('quiet time');
  await load([first], 60, 3_000);
  report('rush at the first machine');
  await load(others, 60, 8_000);
  report('rush at the other machines');
  await load(gateways, 30, 4_000);
  report('end');
  const statuses = {};
  calls.forEach(({ status }) => {
    statuses[status] = (statuses[status] ?? 0) + 1;
  });
  recorder.say(`statuses: ${JSON.stringify(statuses)}`);
  const spent = getSpent();
  return {
    isBroken: spent > PREPAID,
    text: `the tenant got ${spent} tokens, its prepaid is ${PREPAID}`,
  };
});
