/** Failure: a stream holds events from endpoints of two software versions. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createRoute, type GatewayFleet } from '../support/gatewayFleet.js';
import { getEventVersions, startVersionedFleet } from '../support/versionedEndpoints.js';

const TIMEOUT = { timeout: 30_000 };
const CALLS = 12; // the placement is random
const route = createRoute('/s/', { isStream: true, repeatability: 'resumable', attempts: 3 });

/** Returns the versions of a stream's events, and whether the stream is complete. */
async function readVersions(fleet: GatewayFleet): Promise<[string[], boolean]> {
  const { body, isComplete } = await fleet.call('/s/x');
  return [getEventVersions(body), isComplete];
}

test(
  'the gateway does not continue a stream at another software version',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2']);
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
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2', 'v1', 'v2']);
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
    const fleet = await startVersionedFleet(context, route, ['v1', 'v1']);
    fleet.forgetVersions();
    expect(await readVersions(fleet)).toEqual([['v1', 'v1'], false]);
  },
);
