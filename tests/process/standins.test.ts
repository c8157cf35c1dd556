import { after, before, test } from 'node:test';
import { expect } from 'earl';
import { EngineStandin } from '../../standins/engineStandin.js';
import { parseStream, waitFor } from '../support/fleetCalls.js';

const engine = new EngineStandin({
  slots: 1,
  queueCapacity: 4,
  completionTokens: 10,
  tokenIntervalMs: 5,
});
let url: string;

before(async () => {
  url = `http://127.0.0.1:${await engine.listen()}`;
});
after(() => engine.crash());

async function requestChat(prompt: string, more: object = {}, priority = '0'): Promise<string> {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'x-priority': priority },
    body: JSON.stringify({ model: 'm', stream: true, messages: [prompt], ...more }),
  });
  return parseStream(await response.text()).words;
}

test('an engine resumes a response after the tokens already received', async () => {
  const fullResponse = await requestChat('resumed');
  const remainder = await requestChat('resumed', { resume_from: 4 });
  expect(fullResponse.endsWith(remainder)).toEqual(true);
  expect(remainder.trim().split(' ')).toHaveLength(6);
});

test('an engine caches prompt prefixes', async () => {
  const hits = engine.cacheHits;
  await requestChat('cached');
  await requestChat('cached');
  expect(engine.cacheHits).toEqual(hits + 1);
});

test('an engine starts queued requests by priority and reports its load', async () => {
  const order: string[] = [];
  const send = async (name: string, priority: string) => {
    await requestChat(name, {}, priority);
    order.push(name);
  };
  const waitForLoad = (name: 'running' | 'waiting', count: number) =>
    waitFor(async () => {
      const load = (await (await fetch(`${url}/load`)).json()) as Record<string, number>;
      return load[name] === count;
    });
  engine.faults.silent = true;
  const first = send('first', '0');
  await waitForLoad('running', 1);
  const low = send('low', '1');
  await waitForLoad('waiting', 1);
  const high = send('high', '9');
  await waitForLoad('waiting', 2);
  engine.faults.silent = false;
  await Promise.all([first, low, high]);
  expect(order).toEqual(['first', 'high', 'low']);
});
