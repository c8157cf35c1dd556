/** Failure: a gateway whose log is no longer read serves no call, uses a whole core and does not stop. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { StoreStandin } from '../../standins/storeStandin.js';
import { GatewayProcess } from '../support/gatewayProcess.js';
import { KeptConnection } from '../support/keptConnection.js';
import { findFreePorts, putSoakConfig, SOAK_SERVICE } from '../support/soakConfig.js';
import { SoakEndpoints } from '../support/soakEndpoints.js';
import { createSoakRequest, RandomSource } from '../support/soakRequests.js';

const TIMEOUT = { timeout: 30_000 };
const CALLS = 5;

test('a gateway whose log is no longer read serves calls and stops', TIMEOUT, async (context) => {
  const store = new StoreStandin();
  const storePort = await store.listen();
  putSoakConfig(store, 1);
  const endpoints = new SoakEndpoints(store, SOAK_SERVICE);
  await endpoints.add('e1', 64);
  const directory = mkdtempSync(join(tmpdir(), 'closed-log-'));
  const ports = await findFreePorts(3);
  const gateway = new GatewayProcess({
    directory,
    name: 'vm',
    host: '127.0.0.4',
    ports,
    seeds: [],
    storeAddress: `127.0.0.1:${storePort}`,
    graceS: 4,
    isLogClosed: true,
  });
  context.after(async () => {
    gateway.signal('SIGKILL');
    endpoints.stop();
    await store.crash();
    rmSync(directory, { recursive: true, force: true });
  });
  await gateway.start();
  expect(gateway.isRunning).toEqual(true);
  const random = new RandomSource(1);
  const statuses: (number | undefined)[] = [];
  const connection = await KeptConnection.connect('127.0.0.4', ports[0]!);
  context.after(() => connection.close());
  while (statuses.length < CALLS) {
    const { status } = await connection.send(createSoakRequest(random, 'call'));
    statuses.push(status);
  }
  expect(statuses).toEqual(Array.from({ length: CALLS }, () => 200));
  connection.close();
  gateway.signal('SIGTERM');
  expect(await gateway.ended).toEqual({ code: 0, signal: null });
});
