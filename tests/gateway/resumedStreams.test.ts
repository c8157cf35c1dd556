/** Failure: a caller takes a stream up again, and gets the rest from another software version than the first part. */
import { test } from 'node:test';
import { expect } from 'earl';
import { brandId, type ServiceName } from '../../src/types/ids.js';
import { createRoute, type GatewayFleet } from '../support/gatewayFleet.js';
import {
  addVersionedEndpoint,
  getEventVersions,
  startVersionedFleet,
} from '../support/versionedEndpoints.js';

const TIMEOUT = { timeout: 30_000 };
const CALLS = 12; // the placement is random
const route = createRoute('/s/', { isStream: true, repeatability: 'resumable', attempts: 1 });

/** Begins a stream, which breaks off. Returns its version. */
async function begin(fleet: GatewayFleet, id: string): Promise<string> {
  const { body } = await fleet.call('/s/x', { 'shallotrock-attempt-id': id });
  return getEventVersions(body)[0]!;
}

function resume(fleet: GatewayFleet, resumes: string, headers: Record<string, string> = {}) {
  return fleet.call('/s/x', { 'last-event-id': '2', resumes, ...headers });
}

test(
  'a stream is taken up at the version that began it, at the same vm and at any other',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2', 'v1', 'v2']);
    const versions: string[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      versions.push(await begin(fleet, `stream-${call}`));
      const { status, body } = await resume(fleet, `stream-${call}`);
      expect([status, ...getEventVersions(body)]).toEqual([200, versions[call]!, versions[call]!]);
    }
    expect(new Set(versions).size).toEqual(2);
    // The record of the last stream is written a little later.
    await fleet.settle();
    await fleet.settle();
    const peer = await fleet.startPeer(context, 2);
    for (let call = 0; call < CALLS; call += 1) {
      const { status, body } = await resume(peer, `stream-${call}`);
      expect([status, ...getEventVersions(body)]).toEqual([200, versions[call]!, versions[call]!]);
    }
  },
);

test(
  'a stream whose record was lost is not taken up while two versions serve',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2']);
    const peer = await fleet.startPeer(context, 2);
    const refused = await resume(peer, 'a stream of a vm that ended before it wrote');
    expect([refused.status, JSON.parse(refused.body).error.code]).toEqual([
      503,
      'streamVersionUnknown',
    ]);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    // Without the name of the stream, nothing tells its version either.
    const unnamed = await peer.call('/s/x', { 'last-event-id': '2' });
    expect(unnamed.status).toEqual(503);
  },
);

test(
  'a stream of a version that has left is refused, not joined with the next version',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1']);
    await begin(fleet, 'stream');
    await addVersionedEndpoint(fleet, 'new', 'v2');
    fleet.removeEndpoint('e0');
    await fleet.waitFor(() => fleet.gateway.directory.getSize() === 1);
    await fleet.waitFor(() => fleet.countStreamRecords() > 0);
    const peer = await fleet.startPeer(context, 2);
    for (const gateway of [fleet, peer]) {
      const refused = await resume(gateway, 'stream');
      expect([refused.status, JSON.parse(refused.body).error.code]).toEqual([
        503,
        'streamVersionGone',
      ]);
    }
  },
);

test(
  'a vm that starts after the old version has left knows from the records that there was one',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1']);
    await begin(fleet, 'stream');
    await addVersionedEndpoint(fleet, 'new', 'v2');
    fleet.removeEndpoint('e0');
    await fleet.waitFor(() => fleet.gateway.directory.getSize() === 1);
    await fleet.waitFor(() => fleet.countStreamRecords() > 0);
    const peer = await fleet.startPeer(context, 2);
    // Begun in the last moment before a kill, so that no record names it.
    expect((await resume(peer, 'another stream')).status).toEqual(503);
  },
);

test(
  'while one version serves, a stream without a record is taken up',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v1']);
    await begin(fleet, 'stream');
    const peer = await fleet.startPeer(context, 2);
    fleet.removeStreamRecords();
    const { status, body } = await resume(peer, 'stream');
    expect([status, getEventVersions(body)]).toEqual([200, ['v1', 'v1']]);
  },
);

test(
  'without the store a vm takes up its own streams only, although it has seen one version',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v1']);
    const peer = await fleet.startPeer(context, 2);
    fleet.setStreamRecordsUnavailable(true);
    await begin(fleet, 'stream');
    expect((await resume(fleet, 'stream')).status).toEqual(200);
    // The streams of other vms may have begun at a version that this one can't know of.
    const refused = await resume(peer, 'stream');
    expect([refused.status, JSON.parse(refused.body).error.code]).toEqual([
      503,
      'streamVersionUnknown',
    ]);
    fleet.setStreamRecordsUnavailable(false);
    expect((await resume(peer, 'stream')).status).toEqual(200);
  },
);

test(
  'no stream begins at a version before the record that names it is stored',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1']);
    await fleet.waitFor(() => fleet.countStreamRecords() > 0);
    await fleet.settle();
    fleet.setStreamRecordsUnavailable(true);
    await addVersionedEndpoint(fleet, 'new', 'v2');
    const versions: string[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      versions.push(await begin(fleet, `stream-${call}`));
    }
    expect(new Set(versions)).toEqual(new Set(['v1']));
    fleet.setStreamRecordsUnavailable(false);
    let version = 'v1';
    while (version === 'v1') {
      version = await begin(fleet, 'later');
    }
    expect(version).toEqual('v2');
  },
);

test(
  'a vm that ends before its first stream is recorded has named the version',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1']);
    await fleet.waitFor(() => fleet.countStreamRecords() > 0);
    const peer = await fleet.startPeer(context, 2);
    await begin(fleet, 'stream');
    await addVersionedEndpoint(peer, 'new', 'v2');
    peer.removeEndpoint('e0');
    await peer.waitFor(() => peer.gateway.directory.getSize() === 1);
    expect((await resume(peer, 'stream')).status).toEqual(503);
  },
);

test(
  'a stream without a record is not taken up on a route that leads to several services',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1']);
    const split = [
      { service: fleet.service, weight: 1 },
      { service: brandId<ServiceName>('other'), weight: 0 },
    ];
    await fleet.configure([{ ...route, split }]);
    expect((await resume(fleet, 'a stream of another vm')).status).toEqual(503);
  },
);

test(
  'a call that names a stream without its last event goes to the version of the stream',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2']);
    const version = await begin(fleet, 'stream');
    for (let call = 0; call < CALLS; call += 1) {
      const { body } = await fleet.call('/s/x', { resumes: 'stream' });
      expect(new Set(getEventVersions(body))).toEqual(new Set([version]));
    }
  },
);

test(
  'a third call names the first one, whichever vm served the second',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2', 'v1', 'v2']);
    const version = await begin(fleet, 'first');
    await fleet.waitFor(() => fleet.countStreamRecords() > 0);
    await fleet.settle();
    await fleet.settle();
    const peer = await fleet.startPeer(context, 2);
    for (const id of ['second', 'third', 'fourth']) {
      const { body } = await resume(peer, 'first', { 'shallotrock-attempt-id': id });
      expect(getEventVersions(body)).toEqual([version, version]);
    }
  },
);

test(
  'a stream that began at an endpoint of an unknown version is not taken up',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v1']);
    fleet.forgetVersions();
    await begin(fleet, 'stream');
    expect((await resume(fleet, 'stream')).status).toEqual(503);
  },
);

test(
  'a stream of another workspace or a header that is repeated gives no version',
  TIMEOUT,
  async (context) => {
    const fleet = await startVersionedFleet(context, route, ['v1', 'v2']);
    await begin(fleet, 'stream');
    const tooLong = await resume(fleet, 'x'.repeat(8_000));
    expect(tooLong.status).toEqual(503);
    const empty = await resume(fleet, '');
    expect(empty.status).toEqual(503);
  },
);
