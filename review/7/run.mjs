/** Case 7: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import {
  createDirectory,
  Engine,
  findFreePorts,
  Gateway,
  HAS_TROUBLE,
  putConfig,
  Record,
  send,
  sleep,
} from '../lib-2/fleet.mjs';

const PREPAID = 200_000;
const PROMPT = 900;
const OUTPUT = 100;
const STRIDE = 5; // tokens in one event of a stream
const HUGE = '999999999999999,999999999999999';
const HUGE_COUNT = 8; // clients of each machine that send them one after another
const HUGE_PERIOD_MS = 100;
const PRESS_MS = 2_000;
const FIRST_REQUESTS = 50; // to each machine: three quarters of the total
const RESTART_MS = 500;

const HAS_HUGE = process.env.HUGE !== '0'; // without them the kill alone

const record = new Record(import.meta.url);
const cleanups = [];
/** Tokens that each tenant got: input once per request and output delivered, as the engines ran them. */
const used = new Map();

/** Answers a stream that holds all output tokens in one event. */
function handle(message, response, engine) {
  message.resume();
  message.on('end', () => {
    const tenant = message.headers['shallotrock-tenant'];
    const [prompt, output] = message.headers['shallotrock-token-usage'].split(',').map(Number);
    used.set(tenant, (used.get(tenant) ?? 0) + prompt + output);
    response.writeHead(200, {
      ...engine.getHeaders(message),
      'content-type': 'text/event-stream',
    });
    for (let id = 1; id <= output / STRIDE; id += 1) {
      response.write(`id: ${id}\ndata: ${'t'.repeat(STRIDE)}\n\n`);
    }
    response.end();
  });
}

async function main() {
  const { StoreStandin } = await import('../../dist/standins/storeStandin.js');
  const { directory, remove } = createDirectory();
  cleanups.push(process.env.KEEP ? () => console.log(directory) : remove);
  const store = new StoreStandin();
  const storePort = await store.listen();
  cleanups.push(() => store.crash());
  const config = {
    routes: [
      {
        name: 'roll-tag',
        pathPrefix: '/t/',
        type: 'streaming',
        service: 'shallot-pool',
        timeoutMs: 3_000,
      },
    ],
    services: [
      {
        name: 'shallot-pool',
        backendType: { slots: 64, kvCapacity: 628_815, stride: STRIDE },
      },
    ],
    tenants: ['buyer', 'other'].map((name) => ({
      name,
      apiKeys: [`key-of-${name}`],
      prepaid: PREPAID,
    })),
  };
  putConfig(store, 1, config);
  const engine = new Engine({ store, id: 'e1', service: 'shallot-pool', handle });
  await engine.start();
  cleanups.push(() => engine.stop());
  const ports = await findFreePorts(3);
  const hosts = ['127.0.62.1', '127.0.62.2', '127.0.62.3'];
  const gateways = hosts.map(
    (host, index) =>
      new Gateway({
        directory,
        name: `edge-tpe-a-${index + 1}`,
        host,
        ports,
        seeds: hosts.map((seed) => `${seed}:${ports[2]}`),
        storeAddress: `127.0.0.1:${storePort}`,
      }),
  );
  cleanups.push(() => gateways.forEach((gateway) => gateway.signal('SIGKILL')));
  const areReady = await Promise.all(gateways.map((gateway) => gateway.start()));
  if (!areReady.every(Boolean)) {
    record.add('a gateway did not become ready');
    return 2;
  }
  await sleep(9_000); // every process has stored its first record
  record.add(`trouble ${HAS_TROUBLE}; tenant buyer has ${PREPAID} tokens prepaid`);
  await Promise.all(gateways.map((gateway) => spend(gateway, FIRST_REQUESTS)));
  await sleep(2_000); // the spending is stored
  let isOver = false;
  const pressing = HAS_HUGE ? press(gateways, () => isOver) : undefined;
  await sleep(PRESS_MS);
  if (HAS_TROUBLE) {
    gateways.forEach((gateway) => gateway.signal('SIGKILL'));
    await Promise.all(gateways.map(({ ended }) => ended));
    record.add('all processes killed');
    isOver = true;
    await sleep(RESTART_MS);
    await Promise.all(gateways.map((gateway) => gateway.start()));
    record.add('all processes ready again');
  }
  isOver = true;
  await pressing;
  await sleep(3_000);
  await Promise.all(gateways.map((gateway) => spend(gateway, Number.POSITIVE_INFINITY)));
  const got = used.get('buyer') ?? 0;
  record.add(`tenant buyer got ${got} of ${PREPAID} prepaid tokens`);
  return got > PREPAID ? 1 : 0;
}

/** Clients of another tenant keep sending requests that are far larger than its balance; none of them may run. */
async function press(gateways, isOver) {
  const outcomes = new Map();
  const sendAll = async (gateway, worker) => {
    for (let count = 0; !isOver(); count += 1) {
      const outcome = await ask(gateway, `h-${gateway.name}-${worker}-${count}`, HUGE, 'other');
      outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
      await sleep(HUGE_PERIOD_MS);
    }
  };
  await Promise.all(
    gateways.flatMap((gateway) =>
      Array.from({ length: HUGE_COUNT }, (_, worker) => sendAll(gateway, worker)),
    ),
  );
  outcomes.forEach((count, outcome) =>
    record.add(`answers to huge requests: ${outcome}: ${count}`),
  );
}

/** The tenant `buyer` sends requests to one machine until it gets no more. */
async function spend(gateway, most) {
  const outcomes = new Map();
  let refused = 0;
  for (let count = 0; refused < 20 && count < most; count += 1) {
    const outcome = await ask(
      gateway,
      `${gateway.name}-${Date.now()}-${count}`,
      `${PROMPT},${OUTPUT}`,
    );
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    refused = outcome === '200' ? 0 : refused + 1;
    if (outcome !== '200') {
      await sleep(100);
    }
  }
  outcomes.forEach((count, outcome) =>
    record.add(`${gateway.name}: answers to requests of buyer: ${outcome}: ${count}`),
  );
  record.add(`buyer has got ${used.get('buyer') ?? 0} tokens`);
}

async function ask({ options: { host, ports } }, id, usage, tenant = 'buyer') {
  try {
    const answer = await send({
      host,
      port: ports[0],
      method: 'POST',
      path: '/t/1',
      headers: {
        host: 'shop.example',
        'shallotrock-attempt-id': id,
        'shallotrock-deadline-ms': '3000',
        'shallotrock-credential': `key-of-${tenant}`,
        'shallotrock-model': 'm',
        'shallotrock-token-usage': usage,
        'shallotrock-prompt-prefix': `${id.length}a:${usage.split(',')[0]}`,
        'content-length': 2,
      },
      body: '{}',
      signal: AbortSignal.timeout(3_500),
    });
    return String(answer.status);
  } catch (error) {
    return error.code ?? error.name;
  }
}

let code = 2;
try {
  code = await main();
} catch (error) {
  record.add(`could not run: ${error.stack}`);
}
for (const cleanup of cleanups.reverse()) {
  await cleanup();
}
record.add(`exit ${code}`);
record.save(40);
process.exit(code);
