/** Exchanges state between gateways: patterns of refused calls, configuration and endpoints. */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { PatternList } from '../poison/patternList.js';
import { NO_ERA } from '../store/storeEra.js';
import type { VmId } from '../types/ids.js';
import type { PoisonPattern } from '../types/poison.js';
import type { GatewayStateResponse, GatewayStateRequest, PeerClient } from '../types/peers.js';
import type { ConfigController } from './configController.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EvacuationController } from './evacuations/evacuationController.js';

/** Options of the synchronization. */
export interface PeerSyncOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly config: ConfigController;
  readonly directory: EndpointDirectory;
  readonly evacuations: EvacuationController;
  readonly patterns: PatternList;
  readonly getPeers: () => readonly VmId[];
  /** Returns how long the store has been unavailable for the topic worst affected, in milliseconds; 0 if for none. */
  readonly getStoreFailingMs: () => number;
}

const POLL_INTERVAL_MS = 400;
const STORE_FAILURE_MIN_MS = 200; // a single lost response is not an outage
const CALL_TIMEOUT_MS = 350;
const START_POLLS_MAX = 5; // peers may be starting as well, or have read less

/**
 * Polls peers in turn while the store is unavailable. Also polls them after the start: the store lists the last entry of
 * each endpoint, which may be one that was stored after its removal, and peers have read what was before.
 */
export class PeerSync {
  private unsubscribe: Unsubscribe = () => {};

  private isRequestPending = false;

  private nextPeerIndex = 0;

  private startPollsLeft = START_POLLS_MAX;

  constructor(private readonly options: PeerSyncOptions) {}

  /** Starts polling. */
  start(): void {
    this.unsubscribe = this.options.timers.subscribeEvery(POLL_INTERVAL_MS, () => this.pollPeer());
  }

  stop(): void {
    this.unsubscribe();
  }

  /** Polls peers as after the start: each may know what the store has lost. */
  handleRewind(): void {
    this.startPollsLeft = START_POLLS_MAX;
  }

  /** Merges a peer's patterns and returns the state of this gateway. */
  createStateResponse(request: GatewayStateRequest): GatewayStateResponse {
    const { config, directory, evacuations, patterns } = this.options;
    this.mergePatterns(request.patterns);
    const activeConfig = config.getActive();
    const isNewer = config.getVersion() > request.configVersion;
    return {
      patterns: patterns.getPatterns(),
      config:
        activeConfig && isNewer
          ? Buffer.from(activeConfig.encodedBytes).toString('base64')
          : undefined,
      evacuations: evacuations.getListing(),
      ...directory.getListing(),
    };
  }

  /** Sends a pattern of refused calls to all peers. */
  broadcast(pattern: PoisonPattern): void {
    const { getPeers, client, config, logger } = this.options;
    const request = { configVersion: config.getVersion(), patterns: [pattern] };
    getPeers().forEach((peer) => {
      client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS).catch((error: unknown) => {
        logger.debug('pattern not delivered to peer', { peer, detail: getErrorMessage(error) });
      });
    });
  }

  private mergePatterns(patterns: readonly PoisonPattern[]): void {
    patterns.forEach((pattern) => this.options.patterns.add(pattern, 'peer'));
  }

  private pollPeer(): void {
    const isStoreFailing = this.options.getStoreFailingMs() >= STORE_FAILURE_MIN_MS;
    if (this.isRequestPending || !(isStoreFailing || this.startPollsLeft > 0)) {
      return;
    }
    this.startPollsLeft -= 1;
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
    const { client, config, patterns, directory, evacuations } = this.options;
    this.isRequestPending = true;
    try {
      const request = { configVersion: config.getVersion(), patterns: patterns.getPatterns() };
      const response = await client.call(peer, 'gateway.state', request, CALL_TIMEOUT_MS);
      this.mergePatterns(response.patterns);
      // Before the configuration, with which a gateway that starts begins to send calls.
      evacuations.merge(response.evacuations);
      if (response.config !== undefined) {
        config.apply(Buffer.from(response.config, 'base64'), 'peer');
      }
      directory.merge(response);
      const nextOffset = directory.getNextOffset();
      // After a rewind any one peer may know a configuration or a state that the store and other peers lack.
      const isComplete = directory.getEra() === NO_ERA && response.nextOffset >= nextOffset;
      if (nextOffset > 0 && isComplete) {
        this.startPollsLeft = 0;
      }
    } finally {
      this.isRequestPending = false;
    }
  }
}
