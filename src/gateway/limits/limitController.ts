/**
 * Keeps the limits that endpoints name. Responses tell this gateway; in addition, gateways exchange what they know with
 * one random peer at a time while limits are in force, since most gateways send no calls to a limited endpoint and would
 * learn neither of the limit in time nor of its end.
 */
import type { Logger } from '../../core/logging.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage } from '../../core/utilities.js';
import type { NamedLimit } from '../../types/gateway.js';
import type { VmId } from '../../types/ids.js';
import type { EndpointLimitWord, LimitExchange, PeerClient } from '../../types/peers.js';
import type { EndpointDirectory } from '../endpointDirectory.js';
import type { EndpointInstance } from '../endpointInstance.js';
import type { LimitWord } from './endpointLimit.js';
import { getGatewayRank } from './rateShare.js';
import { createWarmupWords, mergeWarmupWords } from './warmupWords.js';

/** Options of the controller. */
export interface LimitControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly directory: EndpointDirectory;
  readonly vm: VmId;
  /** Returns all gateways, with this one once it is listed. */
  readonly getFleet: () => readonly VmId[];
  /** Returns the other gateways. */
  readonly getPeers: () => readonly VmId[];
  /** In [0, 1). */
  readonly random: () => number;
}

/** A response to a call, as far as it shows a limit. */
export interface LimitObservation {
  readonly limit: NamedLimit;
  /** Remaining warm-up time of the endpoint, in milliseconds; `undefined` if not stated. */
  readonly warmupMs?: number | undefined;
  /** Whether the call succeeded; a refusal that names no limit does not end one. */
  readonly isSuccess: boolean;
  /** When the call was sent. */
  readonly sentAt: number;
}

const EXCHANGE_INTERVAL_MS = 400; // a word reaches hundreds of gateways within a few seconds
const EXCHANGE_TIMEOUT_MS = 350;
const ENDED_WORD_LIFETIME_MS = 10_000; // every gateway has heard of the end by then

/** The limits as one gateway knows them. */
export class LimitController {
  private cancelExchange: Unsubscribe | undefined;

  private isStopped = false;

  constructor(private readonly options: LimitControllerOptions) {}

  stop(): void {
    this.isStopped = true;
    this.cancelExchange?.();
  }

  /** Applies what a response shows. */
  recordResponse(endpoint: EndpointInstance, observation: LimitObservation): void {
    const { limit: named, warmupMs, isSuccess, sentAt } = observation;
    const { limit, warmup } = endpoint;
    if (warmupMs !== undefined) {
      warmup.recordResponse(warmupMs, sentAt, this.options.timers.now());
      this.notifyCold();
    }
    if (named.kind === 'named') {
      this.apply(endpoint, limit.createWord(named.perSecond), 'response');
      return;
    }
    // The response to a call that was sent before the limit was named may have overtaken the one that named it.
    const hasEnded = limit.isInForce() && isSuccess && sentAt >= limit.getAppliedAt();
    if (named.kind === 'none' && hasEnded) {
      this.apply(endpoint, limit.createWord(undefined), 'response');
    }
  }

  /** Merges the words of a peer and returns those of this gateway. */
  exchange(request: LimitExchange): LimitExchange {
    const response = this.createExchange();
    this.merge(request);
    return response;
  }

  /** Begins to tell peers of endpoints that are cold; to be called when one may have become cold. */
  notifyCold(): void {
    if (!this.cancelExchange && this.createExchange().cold) {
      this.scheduleExchange();
    }
  }

  private createExchange(): LimitExchange {
    const { directory, timers } = this.options;
    const cold = createWarmupWords(directory, timers.now());
    return { words: this.createWords(), ...(cold.length > 0 ? { cold } : {}) };
  }

  private merge({ words, cold }: LimitExchange): void {
    const { directory, timers, logger } = this.options;
    const unusableCount = mergeWarmupWords(directory, cold, timers.now());
    if (unusableCount > 0) {
      logger.warn('warm-up words of a peer ignored: malformed', { unusableCount });
    }
    if (cold) {
      this.notifyCold();
    }
    words.forEach(({ endpoint: id, startedAtMs, ...word }) => {
      const endpoint = this.options.directory.get(id);
      if (endpoint?.entry.startedAtMs === startedAtMs) {
        this.apply(endpoint, word, 'peer');
      }
    });
  }

  private apply(endpoint: EndpointInstance, word: LimitWord, origin: 'response' | 'peer'): void {
    const { timers, logger, vm, getFleet } = this.options;
    const { id, startedAtMs } = endpoint.entry;
    const { limit } = endpoint;
    const wasInForce = limit.isInForce();
    limit.apply(word, () => getGatewayRank(id, vm, getFleet()), timers.now());
    if (limit.isInForce() !== wasInForce) {
      const { limitPerSecond } = word;
      const fields = { endpoint: id, startedAtMs, origin, limitPerSecond, ...limit.getRank() };
      logger.info(wasInForce ? 'endpoint limit ended' : 'endpoint limit in force', fields);
    }
    this.scheduleExchange();
  }

  private createWords(): EndpointLimitWord[] {
    const { directory, timers } = this.options;
    const oldestAppliedAt = timers.now() - ENDED_WORD_LIFETIME_MS;
    return directory.getInstances().flatMap(({ entry: { id, startedAtMs }, limit }) => {
      const word = limit.getWord();
      return word && (limit.isInForce() || limit.getAppliedAt() > oldestAppliedAt)
        ? [{ endpoint: id, startedAtMs, ...word }]
        : [];
    });
  }

  private scheduleExchange(): void {
    if (!this.cancelExchange && !this.isStopped) {
      this.cancelExchange = this.options.timers.subscribe(EXCHANGE_INTERVAL_MS, () => {
        this.cancelExchange = undefined;
        this.exchangeWithPeer();
      });
    }
  }

  private exchangeWithPeer(): void {
    const { client, logger, getPeers, random } = this.options;
    const request = this.createExchange();
    const peers = getPeers();
    const peer = peers[Math.floor(random() * peers.length)];
    if ((request.words.length === 0 && !request.cold) || peer === undefined) {
      return;
    }
    client
      .call(peer, 'gateway.limits', request, EXCHANGE_TIMEOUT_MS)
      .then((response) => this.merge(response))
      .catch((error: unknown) => {
        logger.debug('limits not exchanged with peer', { peer, detail: getErrorMessage(error) });
      })
      .finally(() => this.scheduleExchange());
  }
}
