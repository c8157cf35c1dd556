/** Failure: after another writer left one odd entry in the list of endpoints, its readers end or no longer follow it. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { HttpVmList } from '../../src/transports/httpVmList.js';
import type { Vm } from '../../src/types/platform.js';
import {
  createEntryFields,
  createRoute,
  GatewayFleet,
  sendResponse,
} from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
/** No test endpoint listens there. */
const UNUSED_ADDRESS = '127.0.0.1:1';
const CALLS = 6;

/** Creates the text of an entry for an address. */
type EntryText = (address: string) => string;

const nest = (depth: number) => `${'['.repeat(depth)}${']'.repeat(depth)}`;
/** Creates an entry with one field replaced by JSON text. */
const replaceField =
  (name: string, json: string): EntryText =>
  (address) =>
    JSON.stringify({ ...createEntryFields(address), [name]: '' }).replace(
      `"${name}":""`,
      `"${name}":${json}`,
    );

const oddEntries: readonly (readonly [string, EntryText, string?])[] = [
  ['nested arrays', () => nest(130_000)],
  ['nested arrays that are not closed', () => '['.repeat(260_000)],
  ['nested objects', () => `${'{"a":'.repeat(50_000)}1${'}'.repeat(50_000)}`],
  ['a field of nested arrays', replaceField('service', nest(130_000))],
  ['an unknown field of nested arrays', replaceField('other', nest(130_000))],
  ['a sequence that is no number', replaceField('seq', '1e400')],
  ['a large sequence', replaceField('seq', '9007199254740991')],
  ['a negative sequence', replaceField('seq', '-1')],
  ['a start in the future', replaceField('born', '9007199254740991')],
  ['a large number of slots', replaceField('slots', '1e308')],
  ['a tiny number of slots', replaceField('slots', '1e-308')],
  ['a version that is no text', replaceField('version', '{}')],
  ['a long warm-up', replaceField('warmupLeftMs', '1e308')],
  ['a port out of range', replaceField('address', '"127.0.0.1:70000"')],
  ['the port 0', replaceField('address', '"127.0.0.1:0"')],
  ['a host that is no address', replaceField('address', '"a b:80"')],
  ['a host with a control character', replaceField('address', '"\\u0000:80"')],
  ['an id that no header may hold', replaceField('zone', '"z"'), 'odd\r\nid: \u2603'],
  ['no JSON', () => '\u0000\u0001'],
];

oddEntries.forEach(([name, createText, oddId = 'odd']) => {
  test(
    `an entry with ${name} harms no call, and the list is followed`,
    TIMEOUT,
    async (context) => {
      const fleet = await GatewayFleet.start(context);
      await fleet.configure([createRoute('/a/')]);
      const { address } = await fleet.addEndpoint('e1', (message, response) =>
        sendResponse(message, response, 'one'),
      );
      // Once as an endpoint of its own, once in place of the entry of a sound one.
      fleet.putEndpointEntry(oddId, createText(UNUSED_ADDRESS));
      fleet.putEndpointEntry('e1', createText(address));
      await fleet.waitForEntries();
      const statuses = await fleet.callSequentially(CALLS, '/a/x', {});
      const second = await fleet.addEndpoint('e2', (message, response) =>
        sendResponse(message, response, 'two'),
      );
      const leaving = { ...createEntryFields(address), seq: 2, state: 'draining' };
      fleet.putEndpointEntry('e1', JSON.stringify(leaving));
      await fleet.waitForEntries();
      statuses.push(...(await fleet.callSequentially(CALLS, '/a/x', {})));
      expect(new Set(statuses)).toEqual(new Set([200]));
      expect(second.calls.length).toEqual(CALLS);
      const endpoints = fleet.gateway.directory.getEndpoints(fleet.service);
      expect(endpoints.map(({ inFlight }) => inFlight).filter((count) => count > 0)).toEqual([]);
    },
  );
});

test('a vm list with odd entries is followed, and the odd ones are reported', async (context) => {
  const vm = { vm: 'vm-1', host: '127.0.0.1', port: 80, availabilityZone: 'z', state: 'live' };
  const odd = [
    { ...vm, vm: 'odd', port: 70_000 },
    { ...vm, vm: 'odd', state: [[[]]] },
  ].map((entry) => JSON.stringify(entry));
  const large = JSON.stringify({ ...vm, vm: 'odd' }).replace('80', '1e400');
  const body = `{"vms":[${[...odd, large, nest(100_000), JSON.stringify(vm)].join(',')}]}`;
  const server = createServer((_, response) => response.end(body));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const malformed: string[] = [];
  const list = new HttpVmList({
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    onMalformed: (detail) => malformed.push(detail),
  });
  context.after(async () => {
    await list.close();
    server.close();
  });
  expect((await list.list()).unwrap()).toEqual([vm as unknown as Vm]);
  expect(malformed.length).toEqual(4);
});
