/** Failure: calls that share one part of their prompts, and are otherwise all different, crash endpoint after endpoint. */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendEvents } from '../support/gatewayFleet.js';
import { startCrashingEndpoint } from '../support/crashingEndpoint.js';

const TIMEOUT = { timeout: 30_000 };
const ENDPOINT_COUNT = 12;
/** The users allow further sends of such calls up to the fifth crash. */
const CRASHES_MAX = 5;
const POISONOUS_PART = 'dead';

let callCount = 0;

/** Sends a call with the given parts before a last one of its own, and returns the status. */
async function callWithParts(fleet: GatewayFleet, parts: readonly string[]): Promise<number> {
  callCount += 1;
  const prompt = [...parts, `own${callCount}`].map((part) => `${part}:20`).join(',');
  const headers = { 'shallotrock-token-usage': '100,50', 'shallotrock-prompt-prefix': prompt };
  const { status, isComplete } = await fleet.call('/a/x', headers, `body ${callCount}`);
  return isComplete ? status : 0;
}

/** Starts a fleet whose endpoints crash by calls that `isDeadly` selects by their header with the prompt's parts. */
async function startFleet(context: TestContext, isDeadly: (prompt: string) => boolean) {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([createRoute('/a/', { isStream: true })], 10_000_000);
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINT_COUNT }, (_, index) =>
      startCrashingEndpoint(context, {
        isDeadly: ({ headers }) => isDeadly(String(headers['shallotrock-prompt-prefix'])),
        handle: (message, response) => {
          sendEvents(message, response, [1]);
          response.end();
        },
      }).then(async (endpoint) => {
        const id = `e${index}`;
        await fleet.listEndpoint(id, endpoint.port);
        return { ...endpoint, id };
      }),
    ),
  );
  for (let index = 0; index < 60; index += 1) {
    expect(await callWithParts(fleet, ['system', `book${index % 7}`])).toEqual(200);
  }
  return {
    fleet,
    countCrashes: () => endpoints.filter(({ hasCrashed }) => hasCrashed()).length,
    /** Waits until each crash has been assessed, and ends the entries of crashed endpoints. */
    settle: async () => {
      await fleet.waitForCrashes();
      const crashed = endpoints.filter(({ hasCrashed }) => hasCrashed());
      crashed.forEach(({ id }) => fleet.removeEndpoint(id));
      const left = ENDPOINT_COUNT - crashed.length;
      await fleet.waitFor(() => fleet.gateway.directory.getSize() === left);
    },
  };
}

test(
  'calls with one prompt part that crashes endpoints are refused before the sixth crash',
  TIMEOUT,
  async (context) => {
    const { fleet, countCrashes, settle } = await startFleet(context, (prompt) =>
      prompt.includes(POISONOUS_PART),
    );
    for (let round = 0; round < ENDPOINT_COUNT - 2; round += 1) {
      const crashesBefore = countCrashes();
      await callWithParts(fleet, ['system', 'book', POISONOUS_PART]);
      await settle();
      expect(countCrashes() - crashesBefore <= 1).toEqual(true);
      expect(await callWithParts(fleet, ['system', `book${round % 7}`])).toEqual(200);
    }
    expect(countCrashes() <= CRASHES_MAX).toEqual(true);
    expect(await callWithParts(fleet, ['system', 'book', POISONOUS_PART])).toEqual(422);
    expect(await callWithParts(fleet, ['system', 'book'])).toEqual(200);
  },
);

test(
  'no call is refused when endpoints crash under calls of every kind',
  TIMEOUT,
  async (context) => {
    let callsUntilCrash = Number.POSITIVE_INFINITY;
    const { fleet, countCrashes, settle } = await startFleet(context, () => {
      callsUntilCrash -= 1;
      return callsUntilCrash === 0;
    });
    const statuses: number[] = [];
    for (let round = 0; round < 60; round += 1) {
      callsUntilCrash = round % 7 === 0 ? 1 : Number.POSITIVE_INFINITY;
      statuses.push(await callWithParts(fleet, ['system', `book${round % 5}`]));
      await settle();
    }
    expect(countCrashes()).toEqual(9);
    expect(statuses.filter((status) => status === 422)).toEqual([]);
  },
);
