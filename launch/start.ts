/**
 * `npm start`: starts a small fleet, applies the sample rules, sends a quote and an order, prints both
 * responses, the budgets and the audit, then serves until Ctrl-C. `--once` exits after the audit.
 */
import { parseArgs } from 'node:util';
import { runMain } from '../src/commands/main.js';
import { SignalController } from '../src/commands/signalController.js';
import { createLogger } from '../src/core/logging.js';
import { setFaults, sampleKeys, startFleet, waitUntilReady, type Fleet } from './fleet.js';

const FIRST_PORT = 8080;

const { values } = parseArgs({
  options: {
    once: { type: 'boolean', default: false },
    ports: { type: 'string', default: 'fixed' },
    verbose: { type: 'boolean', default: false },
  },
});

const output = {
  out: (text: string) => process.stdout.write(`${text}\n`),
  error: (text: string) => process.stderr.write(`${text}\n`),
  isTerminal: false,
};

async function sendSampleRequests({ routerUrls }: Fleet): Promise<void> {
  const [url] = routerUrls;
  const authorization = `Bearer ${sampleKeys.yard}`;
  const headers = { authorization, 'content-type': 'application/json' };
  const quote = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'quill-small',
      stream: true,
      max_tokens: 40,
      messages: [{ role: 'user', content: 'A quote for twelve ash poles, please.' }],
    }),
  });
  output.out(`quote, as streamed:\n${await quote.text()}`);
  const order = await fetch(`${url}/services/orders/orders`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': `sample-${process.pid}` },
    body: JSON.stringify({ item: 'ash pole', count: 12 }),
  });
  output.out(`order: ${order.status} ${await order.text()}`);
}

async function runCommand(...args: string[]): Promise<void> {
  const code = await runMain(args, output);
  if (code !== 0) {
    throw new Error(`'shallotrock ${args.join(' ')}' exited with code ${code}`);
  }
}

async function printBudgetsAndAudit(fleet: Fleet): Promise<void> {
  await runCommand('budgets', '--log', fleet.logUrl);
  await runCommand('audit', '--log', fleet.logUrl);
}

async function runSample(fleet: Fleet): Promise<void> {
  await runCommand('rules', 'apply', fleet.rulesFile, '--log', fleet.logUrl);
  await Promise.all(fleet.routerUrls.map((url) => waitUntilReady(url)));
  await sendSampleRequests(fleet);
  await printBudgetsAndAudit(fleet);
}

async function run(): Promise<void> {
  // Listens before the fleet starts, so that a signal during the start stops the fleet as well.
  // A terminal that closes sends SIGHUP; the processes of the fleet would outlive the launcher.
  const signals = new SignalController({ stopSignals: ['SIGTERM', 'SIGINT', 'SIGQUIT', 'SIGHUP'] });
  signals.listen();
  signals.startLogging(createLogger({ level: values.verbose ? 'info' : 'warn' }));
  const stopSignal = signals.waitForStopSignal();
  const hasAutoPorts = values.ports === 'auto' || values.once;
  const fleet = await startFleet({
    firstPort: hasAutoPorts ? 0 : FIRST_PORT,
    isStderrInherited: values.verbose,
  });
  try {
    const isReady = await Promise.race([runSample(fleet).then(() => true), stopSignal]);
    if (isReady !== true) {
      return;
    }
    const endpoints = [...fleet.engines, ...fleet.services];
    const ready = {
      ready: true,
      routers: fleet.routerUrls,
      endpoints: endpoints.map(({ port }) => `http://127.0.0.1:${port}`),
      log: fleet.logUrl,
      vms: fleet.vmListUrl,
      keys: sampleKeys,
    };
    output.out(JSON.stringify(ready));
    if (!values.once) {
      await stopSignal;
    }
  } finally {
    await setFaults(fleet.logUrl, { outage: false });
    await fleet.stop();
  }
}

await run();
