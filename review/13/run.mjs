/** One part of prompts crashes each engine that begins to answer it. It comes with the prompts of one team after the other. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createAttemptId, send } from '../lib-3/client.mjs';
import {
  createRandom,
  findFreePorts,
  isTroubled,
  now,
  NotRunError,
  runCase,
  sleep,
} from '../lib-3/common.mjs';
import { createConfig, createRoute, createService, HOST } from '../lib-3/config.mjs';
import { Engine } from '../lib-3/engine.mjs';
import { createRouters } from '../lib-3/router.mjs';
import { Store } from '../lib-3/store.mjs';

const SERVICE = 'pool';
const ROUTERS = 3;
const ENGINES = 8;
const FIRST_MS = 100;
const SOUND_PER_S = 30;
const DEADLY_PER_S = 1;
const BACK_MS = 3_000;
const QUIET_MS = 10_000;
const TEAM_MS = 8_000;
const TEAMS = ['team-a', 'team-b', 'team-c', 'team-d', 'team-e', 'team-f', 'team-g'];
const STABLE_WINDOW_MS = 3_000;
const TOLERATED = 3;
const DEADLY = 'dead';
const MODEL = { slots: 64, kvCapacity: 628_815, stride: 5, models: [{ name: 'm' }] };

const isDeadly = (headers) => (headers['shallotrock-prompt-prefix'] ?? '').includes(`,${DEADLY}:`);

runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, directory, onEnd }) => {
  const store = new Store();
  onEnd(() => store.stop());
  const storePort = await store.listen();
  const route = createRoute('s', {
    service: SERVICE,
    type: 'streaming',
    sticky: true,
    timeoutMs: 15_000,
    attempts: 1,
  });
  store.putConfig(createConfig(1, [route], [createService(SERVICE, { backendType: MODEL })]));
  const sentAt = new Map();
  const reached = [];
  const crashes = [];
  let isEnding = false;
  const engines = Array.from({ length: ENGINES }, (_, index) => {
    const engine = new Engine({
      id: `i-${index + 1}`,
      service: SERVICE,
      store,
      record,
      firstMs: FIRST_MS,
      eventMs: 50,
      events: 20,
      onRun: ({ id }, headers) => {
        if (isDeadly(headers)) {
          reached.push({
            id,
            sentAt: sentAt.get(id),
            prefix: headers['shallotrock-prompt-prefix'],
          });
          record.add(
            `${id} (${headers['shallotrock-prompt-prefix']}) reaches engine ${engine.options.id}`,
          );
        }
      },
      onBegin: (headers) => {
        if (!isDeadly(headers)) {
          return false;
        }
        crashes.push(now());
        engine.crash();
        setTimeout(() => !isEnding && engine.start(), BACK_MS);
        return true;
      },
    });
    return engine;
  });
  onEnd(() => {
    isEnding = true;
    engines.forEach((engine) => engine.stop());
  });
  await Promise.all(engines.map((engine) => engine.start()));
  const routers = createRouters({
    count: ROUTERS,
    ports: await findFreePorts(3),
    directory,
    storeAddress: `127.0.0.1:${storePort}`,
    network: 94,
  });
  onEnd(() => Promise.all(routers.map((router) => router.kill())));
  await Promise.all(routers.map((router) => router.start()));
  await sleep(9_000);

  const random = createRandom(59);
  const startedAt = now();
  const endAt = startedAt + QUIET_MS + TEAMS.length * TEAM_MS;
  const results = { sound: [], deadly: [] };
  const pending = [];
  let count = 0;
  const call = async (kind, team) => {
    count += 1;
    const own = `${count.toString(16)}:100`;
    const parts = [`${team}:300`, ...(kind === 'deadly' ? [`${DEADLY}:200`] : ['notes:200']), own];
    const id = createAttemptId();
    const at = now();
    sentAt.set(id, at);
    const result = await send(routers[Math.floor(random() * ROUTERS)], {
      path: `/s/${count}`,
      host: HOST,
      id,
      deadlineMs: 15_000,
      headers: {
        'Shallotrock-Model': 'm',
        'Shallotrock-Token-Usage': '600,100',
        'Shallotrock-Prompt-Prefix': parts.join(),
      },
      body: `prompt ${count}`,
    });
    results[kind].push({ at, status: result.status });
    if (kind === 'deadly') {
      record.add(
        `${id} is answered: ${result.status ?? result.error} ${result.body.slice(0, 140)}`,
      );
    }
  };
  const sendSound = async () => {
    while (now() < endAt) {
      pending.push(call('sound', TEAMS[Math.floor(random() * TEAMS.length)]));
      await sleep((-Math.log(1 - random()) * 1_000) / SOUND_PER_S);
    }
  };
  const sendDeadly = async () => {
    if (!isTroubled) {
      return;
    }
    await sleep(QUIET_MS);
    for (const team of TEAMS) {
      const untilAt = now() + TEAM_MS;
      record.add(`the part comes with the prompts of ${team}`);
      while (now() < untilAt) {
        pending.push(call('deadly', team));
        await sleep(1_000 / DEADLY_PER_S);
      }
    }
  };
  await Promise.all([sendSound(), sendDeadly()]);
  await Promise.all(pending);

  const served = results.sound.filter(({ status }) => status === 200).length;
  record.say(`${results.sound.length} sound requests, ${served} served`);
  record.say(
    `${results.deadly.length} requests with the part, ${reached.length} reached engines, ${crashes.length} crashes`,
  );
  if (served < results.sound.length / 4) {
    throw new NotRunError('too few sound requests were served');
  }
  const fifth = crashes[4];
  const late =
    fifth === undefined ? [] : reached.filter((each) => each.sentAt > fifth + STABLE_WINDOW_MS);
  return late.length > TOLERATED
    ? [
        `BUDGET: ${late.length} requests with the part that crashes engines reached engines, sent later than ${STABLE_WINDOW_MS} ms after the fifth crash`,
        ...late.map(
          ({ id, prefix, sentAt: at }) =>
            `BUDGET: ${id} (${prefix}), sent ${((at - fifth) / 1_000).toFixed(1)} s after the fifth crash`,
        ),
      ]
    : [];
});
