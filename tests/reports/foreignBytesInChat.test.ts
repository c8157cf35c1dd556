/**
 * Failure: a chat stream of the older router breaks off, and what the next engine answers appears in the middle of the
 * caller's stream, or ends it as if it were complete.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import { getExpectedWords, type EndpointFaults } from '../support/fakeEndpoints.js';
import { Simulation, type FakeResponse } from '../support/simulation.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const BROKEN_AFTER = 3;
const TOKENS = 10;
const PROMPT = 'a prompt';
const FOREIGN = 'FOREIGN';
const ID_HEADERS = [undefined, {}];

type Response = NonNullable<EndpointFaults['response']>;

/** Plays a stream that breaks off after three words, and is sent to engines that all give the same response. */
async function play(response?: Response): Promise<{ caller: FakeResponse; calls: number }> {
  const simulation = new Simulation({ routers: 1 });
  const { endpoints } = simulation;
  await simulation.advance(5_000);
  ENGINES.forEach((engine) => endpoints.setFaults(engine, { breakAfter: BROKEN_AFTER }));
  const caller = simulation.chat(0, 'chat-1', PROMPT, TOKENS);
  for (let step = 0; step < 400 && caller.getWords().length === 0; step += 1) {
    // Sequential, so that the first engine is known before its stream breaks.
    await simulation.advance(5);
  }
  ENGINES.filter((engine) => !endpoints.calls.has(engine)).forEach((engine) =>
    endpoints.setFaults(engine, { response }),
  );
  await simulation.advance(10_000);
  const calls = [...endpoints.calls.values()].reduce((sum, count) => sum + count, 0);
  return { caller, calls };
}

/** Describes what a caller could take for a part or an end of its response. */
function findFaults({ caller, calls }: { caller: FakeResponse; calls: number }): string[] {
  const events = caller.text.split('\n\n').filter((event) => event !== '');
  const last = JSON.parse(events.at(-1)!.slice('data: '.length));
  return [
    ...(calls > 1 && calls <= 3 ? [] : [`${calls} calls`]),
    ...(caller.isEnded && caller.isFinished ? [] : ['not ended']),
    ...(/FOREIGN|\[DONE\]/.test(caller.text) ? ['foreign bytes'] : []),
    ...(/^data: \[DONE\]$|"finish_reason":"/m.test(caller.text) ? ['ends as if complete'] : []),
    ...(events.length === BROKEN_AFTER + 1 ? [] : [`${events.length} events`]),
    ...(last.error?.code === 'answerCut' && last.error.ran === 'partial' ? [] : ['not said']),
  ];
}

/** Plays each status and body, with and without the id of the call; returns those with a fault. */
async function findOdd(statuses: readonly number[], bodies: readonly string[]): Promise<string[]> {
  const cases = statuses.flatMap((status) =>
    bodies.flatMap((body) => ID_HEADERS.map((headers) => ({ status, body, headers }))),
  );
  const odd: string[] = [];
  for (const response of cases) {
    const played = await play(response);
    const faults = findFaults(played);
    if (faults.length > 0) {
      odd.push(`${JSON.stringify(response)}: ${faults} | ${played.caller.text.slice(-400)}`);
    }
  }
  return odd;
}

const createEvents = (...events: readonly object[]) =>
  events.map((event) => `data: ${JSON.stringify(event)}\n\n`).join('');

const bodies = [
  '',
  `{"error":{"message":"${FOREIGN}"}}`,
  `HTTP/1.1 500 Internal Server Error\r\nserver: ${FOREIGN}\r\n\r\n`,
  `<html>\n<p>${FOREIGN}</p>\n\n</html>\n\n`,
  createEvents({ error: { message: FOREIGN } }),
  createEvents({ message: FOREIGN }),
  `event: error\ndata: ${FOREIGN}\n\n`,
  createEvents({ choices: [{ index: 0, delta: { content: FOREIGN } }] }),
  createEvents({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] }),
  'data: [DONE]\n\n',
  `${createEvents({ choices: [{ index: 0, delta: {}, finish_reason: FOREIGN }] })}data: [DONE]\n\n`,
];

test('an error of the next engine does not appear in a chat stream that broke off', async () => {
  expect(await findOdd([400, 402, 404, 409, 413, 421, 422, 429, 500, 503, 504], bodies)).toEqual(
    [],
  );
});

test('a success without the answer does not continue a chat stream that broke off', async () => {
  expect(await findOdd([200, 201, 202, 204, 206, 302, 304], bodies)).toEqual([]);
});

test('an error event of the engine is not repeated in a chat stream that it breaks off', async () => {
  const first = createEvents(
    { id: 'a', choices: [{ index: 0, delta: { tool_calls: [] } }] },
    { error: { message: FOREIGN } },
  );
  const simulation = new Simulation({ routers: 1 });
  await simulation.advance(5_000);
  ENGINES.forEach((engine) =>
    simulation.endpoints.setFaults(engine, { response: { status: 200, body: first } }),
  );
  const caller = simulation.chat(0, 'chat-1', PROMPT, TOKENS);
  await simulation.advance(10_000);
  expect([caller.status, caller.isEnded, caller.text.includes('"answerCut"')]).toEqual([
    200,
    true,
    true,
  ]);
  expect(caller.text).not.toInclude(FOREIGN);
});

test('a chat stream that broke off goes on with the words of the next engine', async () => {
  const { caller, calls } = await play();
  expect(caller.getWords()).toEqual(getExpectedWords(PROMPT, TOKENS));
  expect([caller.isComplete(), calls]).toEqual([true, 2]);
});
