/** Failure: a stream holds events from endpoints of two software versions. */
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { createRoute, GatewayFleet, sendEvents } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const CALLS = 12; // the placement is random
const route = createRoute('/s/', { isStream: true, repeatability: 'resumable', attempts: 3 });

/**
 * Starts one endpoint for each version. The first endpoint that a call reaches sends two of four events and breaks off, the
 * next one sends the rest. The `retry` field of an event states its version.
 */
async function startFleet(
  context: TestContext,
  versions: readonly string[],
): Promise<GatewayFleet> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([route]);
  for (const [index, version] of versions.entries()) {
    await fleet.addEndpoint(
      `e${index}`,
      (message, response) => {
        const last = message.headers['last-event-id'];
        sendEvents(message, response, []);
        const ids = last === undefined ? [1, 2] : [3, 4];
        response.write(ids.map((id) => `id: ${id}\ndata: ${version}\n\n`).join(''), () =>
          last === undefined ? response.destroy() : response.end(),
        );
      },
      { version },
    );
  }
  return fleet;
}

/** Returns the versions of a stream's events, and whether the stream is complete. */
async function readVersions(fleet: GatewayFleet): Promise<[string[], boolean]> {
  const { body, isComplete } = await fleet.call('/s/x');
  return [[...body.matchAll(/data: (\S+)/g)].map(([, version]) => version!), isComplete];
}

test(
  'the gateway does not continue a stream at another software version',
  TIMEOUT,
  async (context) => {
    const fleet = await startFleet(context, ['v1', 'v2']);
    for (let call = 0; call < CALLS; call += 1) {
      const [versions, isComplete] = await readVersions(fleet);
      expect([new Set(versions).size, versions.length, isComplete]).toEqual([1, 2, false]);
    }
  },
);

test(
  'the gateway continues a stream at the software version that began it',
  TIMEOUT,
  async (context) => {
    const fleet = await startFleet(context, ['v1', 'v2', 'v1', 'v2']);
    for (let call = 0; call < CALLS; call += 1) {
      const [versions, isComplete] = await readVersions(fleet);
      expect([new Set(versions).size, versions.length, isComplete]).toEqual([1, 4, true]);
    }
  },
);

test(
  'a stream that began at an endpoint of an unknown version is not continued',
  TIMEOUT,
  async (context) => {
    const fleet = await startFleet(context, ['v1', 'v1']);
    fleet.forgetVersions();
    expect(await readVersions(fleet)).toEqual([['v1', 'v1'], false]);
  },
);
