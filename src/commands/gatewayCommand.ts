/** The `shallotrock gateway` command: runs a gateway on the users' platform. */
import { randomBytes } from 'node:crypto';
import { decodeEndpointEntry } from '../../platform/endpointEntry.js';
import { decodeGatewayConfig } from '../../platform/gatewayConfig.js';
import { PlatformHeaders } from '../../platform/headerCodec.js';
import { CONFIG_KEY, EVACUATION_KEY_PREFIX, READINESS_PATH, topics } from '../../platform/names.js';
import { getSettingsFile, readSettingsFile } from '../../platform/settings.js';
import { StoreClient } from '../../platform/storeClient.js';
import { createLogger, type Logger } from '../core/logging.js';
import { createMetrics } from '../core/metrics.js';
import { SystemTimers } from '../core/timers.js';
import { Gateway } from '../gateway/gateway.js';
import { HttpPeerClient } from '../peers/peerRpc.js';
import type { DeploymentSettings } from '../types/gateway.js';
import { brandId, type Incarnation } from '../types/ids.js';
import { parseCommandArgs, runService, type Command, type Output } from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import type { SignalController } from './signalController.js';

const help = `Usage: shallotrock gateway [--settings FILE] [--log-level LEVEL]

Runs a gateway on the platform until SIGTERM, SIGINT or SIGQUIT; then it takes no new connections, lets calls
in flight end and exits within the platform's grace. Further signals don't shorten the stop. SIGHUP, SIGUSR1 and
SIGUSR2 are noted and change nothing. Without --settings the platform's environment names the file. Logs go to
standard error.

Exit codes: 0 stopped; 2 an error in the settings; 3 could not start
`;

/** Runs a gateway. */
export const gatewayCommand: Command = {
  name: 'gateway',
  help,
  run: runGateway,
};

// Gateways reach each other only on the platform's internal network; the signature rejects unrelated traffic.
const DEFAULT_SHARED_KEY = 'shallotrock-gateway-peers';

async function runGateway(
  args: readonly string[],
  output: Output,
  signals: SignalController,
): Promise<ExitCode> {
  const { values } = parseCommandArgs(args, {
    settings: { type: 'string' },
    'log-level': { type: 'string' },
  });
  const file = (values.settings as string | undefined) ?? getSettingsFile();
  if (file === undefined) {
    output.error('error 8002: no settings file: give --settings FILE');
    return exitCodes.usage;
  }
  const deployment = readSettingsFile(file);
  if (deployment.err) {
    output.error(`error 7002: ${deployment.val}`);
    return exitCodes.usage;
  }
  const level = values['log-level'] as string | undefined;
  const { gateway, logger, closeClients } = createGateway(deployment.val, level);
  const stop = () => gateway.stop().finally(closeClients);
  await runService({ start: () => gateway.start(), stop, logger }, signals);
  return exitCodes.ok;
}

/** A gateway with a function that closes its connections to other systems. */
export interface GatewayWithClients {
  readonly gateway: Gateway;
  readonly logger: Logger;
  readonly closeClients: () => Promise<void>;
}

/** Creates a gateway that uses the system clock and real sockets. */
export function createGateway(deployment: DeploymentSettings, level?: string): GatewayWithClients {
  const timers = new SystemTimers();
  const logger = createLogger({ level, fields: { vm: deployment.vm } });
  deployment.problems?.forEach((detail) => logger.warn('setting ignored', { detail }));
  // An exception in one call's event handler must not end the other calls. Calls share no state, so the
  // process can continue.
  process.on('uncaughtException', (error, origin) => {
    logger.error('uncaught exception', { origin, error: error.stack });
  });
  const store = new StoreClient({ address: deployment.storeAddress, timers });
  const closeCallbacks = [() => store.close()];
  const gateway = new Gateway({
    deployment,
    platform: {
      store,
      codec: new PlatformHeaders(),
      decodeConfig: decodeGatewayConfig,
      decodeEndpoint: decodeEndpointEntry,
      configTopic: { name: topics.operator, part: 0 },
      configKey: CONFIG_KEY,
      evacuationKeyPrefix: EVACUATION_KEY_PREFIX,
      endpointTopic: { name: topics.endpoints, part: 0 },
      accountTopic: topics.accounts,
      poisonTopic: { name: topics.poisonPatterns, part: 0 },
      streamTopic: { name: topics.streamOrigins, part: 0 },
      readinessPath: READINESS_PATH,
    },
    timers,
    logger,
    metrics: createMetrics(),
    run: createGatewayIncarnation(deployment.vm),
    sharedKey: DEFAULT_SHARED_KEY,
    createPeerClient: (getAddress) => {
      const client = new HttpPeerClient({ sharedKey: DEFAULT_SHARED_KEY, getAddress });
      closeCallbacks.push(() => client.close());
      return client;
    },
  });
  const closeClients = async () => {
    await Promise.all(closeCallbacks.map((close) => close()));
  };
  return { gateway, logger, closeClients };
}

/**
 * Creates an incarnation id. The clock makes the ids of a vm unique even if the random bytes repeat after
 * a restart.
 */
function createGatewayIncarnation(vm: string): Incarnation {
  const startTime = process.hrtime.bigint().toString(36);
  return brandId(`${vm}-${startTime}-${randomBytes(4).toString('hex')}`);
}
