/** Exchanges state between gateways: suspects, and configuration and endpoints while the store is unavailable. */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { SuspectController } from '../controllers/suspectController.js';
import type { VmId } from '../types/ids.js';
import type {
  GatewayStateResponse,
  GatewayStateRequest,
  PeerClient,
  Suspect,
} from '../types/peers.js';
import type { ConfigController } from './configController.js';
import type { EndpointDirectory } from './endpointDirectory.js';

/** Options of the synchronization. */
export interface PeerSyncOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly config: ConfigController;
  readonly directory: EndpointDirectory;
  readonly suspects: SuspectController;
  readonly getPeers: () => readonly VmId[];
  /** Returns how long the store has been unavailable for the topic worst affected, in milliseconds; 0 if for none. */
  readonly getStoreFailingMs: () => number;
}

const POLL_INTERVAL_MS = 400;
const STORE_FAILURE_MIN_MS = 200; // a single lost response is not an outage
const CALL_TIMEOUT_MS = 350;
const BROADCAST_CRASHES_MIN = 2; // after one crash, most suspects are harmless

/** Polls peers in turn while the store is unavailable. */
export class PeerSync {
  private unsubscribe: Unsubscribe = () => {};

  private isRequestPending = false;

  private nextPeerIndex = 0;

  constructor(private readonly options: PeerSyncOptions) {}

  /** Starts polling, and broadcasting the calls that crash endpoints. */
  start(): void {
    this.options.suspects.onCrash = (suspects) => this.broadcastSuspects(suspects);
    this.unsubscribe = this.options.timers.subscribeEvery(POLL_INTERVAL_MS, () => this.pollPeer());
  }

  stop(): void {
    this.unsubscribe();
  }

  /** Merges a peer's suspects and returns the state of this gateway. */
  createStateResponse(request: GatewayStateRequest): GatewayStateResponse {
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

  /** Sends repeated suspects to all peers, so that each gateway soon refuses the call. */
  private broadcastSuspects(suspects: readonly Suspect[]): void {
    const repeated = suspects.filter(({ deaths }) => deaths >= BROADCAST_CRASHES_MIN);
    if (repeated.length === 0) {
      return;
    }
    const { getPeers, client, config, logger } = this.options;
    const request = { configVersion: config.getVersion(), suspects: repeated };
    logger.warn('calls crashed endpoints repeatedly', { suspects: repeated });
    getPeers().forEach((peer) => {
      client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS).catch((error: unknown) => {
        logger.debug('suspects not delivered to peer', { peer, detail: getErrorMessage(error) });
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
        this.options.logger.debug('state request to peer failed', {
          peer,
          detail: getErrorMessage(error),
        });
      });
    }
  }

  private async requestState(peer: VmId): Promise<void> {
    const { client, config, suspects, directory } = this.options;
    this.isRequestPending = true;
    try {
      const request = { configVersion: config.getVersion(), suspects: suspects.getSuspects() };
      const response = await client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS);
      suspects.merge(response.suspects);
      if (response.config !== undefined) {
        config.apply(Buffer.from(response.config, 'base64'), 'peer');
      }
      response.endpoints.forEach((entry) => directory.apply(entry));
      if (response.isCurrent) {
        directory.retain(new Set(response.endpoints.map(({ id }) => id)));
      }
    } finally {
      this.isRequestPending = false;
    }
  }
}
