/** The `shallotrock router` command: runs a router. */
import { createLogger, type Logger } from '../core/logging.js';
import { createMetrics } from '../core/metrics.js';
import { formatSettingsProblem, readSettings, type Settings } from '../core/settings.js';
import { SystemTimers } from '../core/timers.js';
import { HttpPeerClient } from '../peers/peerRpc.js';
import { HttpEndpointClient } from '../transports/httpEndpointClient.js';
import { HttpLog } from '../transports/httpLog.js';
import { HttpVmList } from '../transports/httpVmList.js';
import { Router } from '../router.js';
import {
  getRequiredOption,
  parseCommandArgs,
  runService,
  type Command,
  type Output,
} from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import type { SignalController } from './signalController.js';

const help = `Usage: shallotrock router --config FILE

Runs a router until SIGTERM, SIGINT or SIGQUIT; then it refuses new requests, lets those in flight end,
gives back its allotments and exits. Further signals don't shorten the stop. SIGHUP, SIGUSR1 and SIGUSR2
are noted and change nothing. Prints {"listening":PORT} once it listens. Logs go to standard error.

Exit codes: 0 stopped; 2 an error in the settings; 3 could not start
`;

/** Runs a router. */
export const routerCommand: Command = {
  name: 'router',
  help,
  run: runRouter,
};

async function runRouter(
  args: readonly string[],
  output: Output,
  signals: SignalController,
): Promise<ExitCode> {
  const { values } = parseCommandArgs(args, { config: { type: 'string' } });
  const settings = readSettings(getRequiredOption(values, 'config'));
  if (settings.err) {
    settings.val.forEach((problem) => output.error(formatSettingsProblem(problem)));
    return exitCodes.usage;
  }
  const { router, logger, closeClients } = createRouter(settings.val);
  const start = async () => {
    output.out(JSON.stringify({ listening: await router.start() }));
  };
  const stop = () => router.stop().finally(closeClients);
  await runService({ start, stop, logger }, signals);
  return exitCodes.ok;
}

/** A router with a function that closes its connections to other systems once the router has stopped. */
export interface RouterWithClients {
  readonly router: Router;
  readonly logger: Logger;
  readonly closeClients: () => Promise<void>;
}

/** Creates a router that uses the system clock and real sockets. */
export function createRouter(settings: Settings): RouterWithClients {
  const { logging } = settings;
  const logger = createLogger({ ...logging, fields: { vm: settings.router.vm } });
  const log = new HttpLog(settings.log);
  const vmList = new HttpVmList({
    ...settings.vms,
    onMalformed: (detail) => logger.warn('vm entry ignored: malformed', { detail }),
  });
  const endpointClient = new HttpEndpointClient(settings.endpoints);
  const closeCallbacks: (() => Promise<void>)[] = [log, vmList, endpointClient].map(
    (client) => () => client.close(),
  );
  const router = new Router({
    settings,
    timers: new SystemTimers(),
    logger,
    metrics: createMetrics(),
    log,
    vmList,
    endpointClient,
    createPeerClient: (getAddress) => {
      const { sharedKey, probeTimeoutMs } = settings.peers;
      const client = new HttpPeerClient({ sharedKey, timeoutMs: probeTimeoutMs, getAddress });
      closeCallbacks.push(() => client.close());
      return client;
    },
  });
  const closeClients = async () => {
    await Promise.all(closeCallbacks.map((close) => close()));
  };
  return { router, logger, closeClients };
}
