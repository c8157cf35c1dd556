/** What gateways tell each other: configuration and endpoints for those that the store does not answer. */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { SuspectController } from '../controllers/suspectController.js';
import type { VmId } from '../types/ids.js';
import type {
  GatewayStateAnswer,
  GatewayStateRequest,
  PeerClient,
  Suspect,
} from '../types/peers.js';
import type { ConfigController } from './configController.js';
import type { EndpointDirectory } from './endpointDirectory.js';

/** Options of the controller. */
export interface PeerSyncOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly config: ConfigController;
  readonly directory: EndpointDirectory;
  readonly suspects: SuspectController;
  readonly getPeers: () => readonly VmId[];
  /** Returns how long the store has not answered for the least current topic, in milliseconds; 0 where it answers. */
  readonly getStoreFailingMs: () => number;
}

const POLL_INTERVAL_MS = 400;
const STORE_FAILURE_MIN_MS = 200; // one lost answer is no reason to ask peers
const CALL_TIMEOUT_MS = 350;
const BROADCAST_CRASHES_MIN = 2;

/** Asks peers in turn while the store is away. */
export class PeerSync {
  private unsubscribe: Unsubscribe = () => {};

  private isRequestPending = false;

  private nextPeerIndex = 0;

  constructor(private readonly options: PeerSyncOptions) {}

  /** Starts watching the store's topics, and telling peers which calls crash endpoints. */
  start(): void {
    this.options.suspects.onCrash = (suspects) => this.broadcastSuspects(suspects);
    this.unsubscribe = this.options.timers.subscribeEvery(POLL_INTERVAL_MS, () => this.pollPeer());
  }

  /** Stops. */
  stop(): void {
    this.unsubscribe();
  }

  /** Answers a peer. */
  createStateResponse(request: GatewayStateRequest): GatewayStateAnswer {
    const { config, directory, suspects, getStoreFailingMs } = this.options;
    suspects.merge(request.suspects);
    const activeConfig = config.getActive();
    const isNewer = config.getVersion() > request.configVersion;
    return {
      isCurrent: activeConfig !== undefined && getStoreFailingMs() === 0,
      suspects: suspects.getSuspects(),
      config:
        activeConfig && isNewer
          ? Buffer.from(activeConfig.encodedBytes).toString('base64')
          : undefined,
      endpoints: directory.getEntries(),
    };
  }

  /** One death is often that of an innocent call; a call that was on two is refused soon, wherever it comes. */
  private broadcastSuspects(suspects: readonly Suspect[]): void {
    const repeated = suspects.filter(({ deaths }) => deaths >= BROADCAST_CRASHES_MIN);
    if (repeated.length === 0) {
      return;
    }
    const { getPeers, client, config, logger } = this.options;
    const request = { configVersion: config.getVersion(), suspects: repeated };
    logger.warn('calls crash endpoints', { suspects: repeated });
    getPeers().forEach((peer) => {
      client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS).catch((error: unknown) => {
        logger.debug('peer did not answer', { peer, detail: getErrorMessage(error) });
      });
    });
  }

  private pollPeer(): void {
    if (this.isRequestPending || this.options.getStoreFailingMs() < STORE_FAILURE_MIN_MS) {
      return;
    }
    const peers = this.options.getPeers();
    this.nextPeerIndex += 1;
    const peer = peers[this.nextPeerIndex % Math.max(1, peers.length)];
    if (peer !== undefined) {
      this.requestState(peer).catch((error: unknown) => {
        this.options.logger.debug('peer did not answer', { peer, detail: getErrorMessage(error) });
      });
    }
  }

  private async requestState(peer: VmId): Promise<void> {
    const { client, config, suspects, directory } = this.options;
    this.isRequestPending = true;
    try {
      const request = { configVersion: config.getVersion(), suspects: suspects.getSuspects() };
      const answer = await client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS);
      suspects.merge(answer.suspects);
      if (answer.config !== undefined) {
        config.apply(Buffer.from(answer.config, 'base64'), 'peer');
      }
      answer.endpoints.forEach((entry) => directory.apply(entry));
      if (answer.isCurrent) {
        directory.retain(new Set(answer.endpoints.map(({ id }) => id)));
      }
    } finally {
      this.isRequestPending = false;
    }
  }
}
