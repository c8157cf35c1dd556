import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { createInterface } from 'node:readline';
import { test } from 'node:test';
import { expect } from 'earl';
import { startFleet } from '../../launch/fleet.js';
import { getRepositoryPath } from '../../launch/processes.js';
import { sleep, waitFor } from '../support/fleetCalls.js';

const END_TIMEOUT_MS = 5_000;

/** Returns whether the host and port of a URL accept connections. */
function isListening(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

// Failure: a launcher that could not start all processes leaves the others running.
test('a fleet that cannot start ends what it started', { timeout: 60_000 }, async () => {
  const other = createServer().listen(0, '127.0.0.1');
  await once(other, 'listening');
  const { port: firstPort } = other.address() as AddressInfo;
  await expect(startFleet({ routers: 2, engines: 1, services: 1, firstPort })).toBeRejected();
  other.close();
  await waitFor(() => !process.getActiveResourcesInfo().includes('ProcessWrap'), END_TIMEOUT_MS);
});

const signalSeries: readonly { readonly name: string; readonly signals: NodeJS.Signals[] }[] = [
  { name: 'Ctrl-C', signals: ['SIGINT'] },
  { name: 'Ctrl-C several times', signals: ['SIGINT', 'SIGINT', 'SIGTERM', 'SIGINT'] },
  { name: 'the end of the terminal', signals: ['SIGHUP'] },
];
const SIGNAL_INTERVAL_MS = 10;

signalSeries.forEach(({ name, signals }) => {
  const title = `${name} stops the launcher and all processes it started, without errors`;
  test(title, { timeout: 60_000 }, async () => {
    const launcher = spawn(
      process.execPath,
      [getRepositoryPath('dist/launch/start.js'), '--ports', 'auto'],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
        detached: true,
      },
    );
    let errors = '';
    launcher.stderr.on('data', (text: Buffer) => {
      errors += text.toString();
    });
    const ended = once(launcher, 'exit');
    let ready: { routers: string[]; endpoints: string[]; log: string; vms: string } | undefined;
    for await (const line of createInterface({ input: launcher.stdout })) {
      if (line.startsWith('{"ready"')) {
        ready = JSON.parse(line);
        break;
      }
    }
    // A terminal sends SIGINT to the whole process group.
    for (const signal of signals) {
      process.kill(-launcher.pid!, signal);
      await sleep(SIGNAL_INTERVAL_MS);
    }
    expect(await ended).toEqual([0, null]);
    expect(errors).toEqual('');
    const urls = [...ready!.routers, ...ready!.endpoints, ready!.log, ready!.vms];
    expect(await Promise.all(urls.map(isListening))).toEqual(urls.map(() => false));
  });
});
