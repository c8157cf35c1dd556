/** What the scripts of this review share: free ports, a record of what was seen, and how a script ends. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Whether the disruption of the case takes place. */
export const isTroubled = process.env.TROUBLE !== '0';

const startedAt = performance.now();

/** Returns the time since the start of the script, in milliseconds. */
export const now = () => performance.now() - startedAt;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });

/** Returns ports that are free on every loopback address. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, '0.0.0.0', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** Returns a random number in [0, 1) that is the same on every run. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** The lines of `record.txt`. */
export class Record {
  lines = [];

  constructor(folder) {
    this.file = join(folder, 'record.txt');
  }

  add(text) {
    this.lines.push(`${(now() / 1_000).toFixed(3).padStart(8)} s  ${text}`);
  }

  /** Prints a line and adds it. */
  say(text) {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Thrown where a case could not run. */
export class NotRunError extends Error {}

/**
 * Runs a case: `run` gets the record, a temporary folder and a function that registers what is to be ended, and returns the
 * breaks of the rule as texts. Exits with 1 if there are any, with 0 if not, and with 2 if the case could not run.
 */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const endings = [];
  let code = 2;
  const giveUp = (reason) => {
    record.say(`not run: ${reason}`);
    record.write();
    endings.forEach((end) => end());
    rmSync(directory, { recursive: true, force: true });
    process.exit(2);
  };
  const limit = setTimeout(() => giveUp('the script took longer than 115 s'), 115_000);
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.on(signal, () => giveUp(signal)));
  try {
    record.say(isTroubled ? 'with the disruption' : 'TROUBLE=0: without the disruption');
    const breaks = await run({ record, directory, onEnd: (end) => endings.push(end) });
    breaks.slice(0, 40).forEach((text) => record.say(`BROKEN ${text}`));
    code = breaks.length > 0 ? 1 : 0;
    record.say(code === 1 ? `the rule was broken (${breaks.length})` : 'the rule held');
  } catch (error) {
    record.say(`not run: ${error instanceof NotRunError ? error.message : error.stack}`);
  }
  clearTimeout(limit);
  for (const end of endings.reverse()) {
    await end();
  }
  record.write();
  rmSync(directory, { recursive: true, force: true });
  process.exit(code);
}
