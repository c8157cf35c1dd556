/** Tracks endpoints by their entries in the store and by the signals in their responses. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import { CircuitBreaker } from '../routing/circuitBreaker.js';
import type { EndpointEntry, ListedEndpoint } from '../types/gateway.js';
import type { Offset, ServiceName, VmId } from '../types/ids.js';

/** Limits the `retry-after` of an endpoint, so that a faulty value can't exclude the endpoint forever. */
const RETRY_AFTER_MAX_MS = 300_000;

/** One start of one endpoint, with this process's view of its load and health. */
export class EndpointInstance {
  readonly breaker = new CircuitBreaker({
    consecutiveFailureThreshold: 3,
    initialOpenMs: 300,
    openMaxMs: 2_000,
  });

  /** Calls of this process in flight on the endpoint. */
  inFlight = 0;

  /** Prompt tokens of this process's calls that await their first event. */
  pendingPrefillTokens = 0;

  /** Whether the endpoint accepts no new calls, according to its entry or its responses. */
  isLeaving = false;

  /** Whether the endpoint was absent from the last complete listing. */
  isUnlisted = false;

  /** This process prefers other endpoints until this time, after a refusal or a failed connection. */
  backoffUntil = 0;

  /** This process sends no call until this time, as the endpoint requested with `retry-after`. */
  pausedUntil = 0;

  constructor(
    public entry: EndpointEntry,
    /** Offset of the store's record that the entry was read from. */
    public offset: Offset,
  ) {
    this.isLeaving = entry.state === 'leaving';
  }

  /** Returns whether a call may be sent to the endpoint at all. */
  isEligible(nowMs: number): boolean {
    return !this.isLeaving && this.pausedUntil <= nowMs;
  }

  /** Returns whether the endpoint is eligible, not in backoff, and its circuit breaker admits a call. */
  isAvailable(nowMs: number): boolean {
    return this.isEligible(nowMs) && this.backoffUntil <= nowMs && this.breaker.isAvailable(nowMs);
  }
}

/** Options of the directory. */
export interface EndpointDirectoryOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
}

/** Where an entry was received from. */
export type EntryOrigin = 'store' | 'peer';

/** All endpoints by service. */
export class EndpointDirectory {
  private readonly byId = new Map<VmId, EndpointInstance>();

  private readonly byService = new Map<ServiceName, EndpointInstance[]>();

  /** Start times of instances that have ended, by id: a later entry of the same start does not revive them. */
  private readonly endedStartTimes = new Map<VmId, number>();

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Returns the endpoints of a service, including those that are leaving. */
  getEndpoints(service: ServiceName): readonly EndpointInstance[] {
    return this.byService.get(service) ?? [];
  }

  /** Returns the entry of each endpoint; endpoints known to be leaving have the state `leaving`. */
  getEntries(): ListedEndpoint[] {
    return [...this.byId.values()].map(({ entry, offset, isLeaving }) => ({
      ...entry,
      offset,
      state: isLeaving ? 'leaving' : entry.state,
    }));
  }

  /** Returns how many endpoints are known. */
  getSize(): number {
    return this.byId.size;
  }

  /** Applies an entry, unless a later start or a later entry of the same start is known. */
  apply(entry: EndpointEntry, offset: Offset, origin: EntryOrigin = 'store'): void {
    const instance = this.byId.get(entry.id);
    if (instance) {
      instance.isUnlisted = false;
    }
    if (instance && isOlder(entry, instance.entry)) {
      return;
    }
    if (
      instance &&
      instance.entry.startedAtMs === entry.startedAtMs &&
      isSameAddress(entry, instance.entry)
    ) {
      this.update(instance, entry, offset, origin);
      return;
    }
    if (instance) {
      this.remove(entry.id, 'endpoint restarted');
    }
    const endpoint = new EndpointInstance(entry, offset);
    endpoint.isLeaving ||= this.endedStartTimes.get(entry.id) === entry.startedAtMs;
    this.byId.set(entry.id, endpoint);
    getOrCreate(this.byService, entry.service, () => []).push(endpoint);
    this.options.logger.info('endpoint added', {
      endpoint: entry.id,
      service: entry.service,
      state: entry.state,
      startedAtMs: entry.startedAtMs,
      sequence: entry.sequence,
      origin,
      offset,
    });
  }

  /** Removes an endpoint. Its calls in flight continue. */
  remove(id: VmId, reason: string): void {
    const endpoint = this.byId.get(id);
    if (!endpoint) {
      return;
    }
    endpoint.isLeaving = true;
    this.byId.delete(id);
    const others = this.getEndpoints(endpoint.entry.service).filter((other) => other !== endpoint);
    this.byService.set(endpoint.entry.service, others);
    const { startedAtMs, sequence } = endpoint.entry;
    this.options.logger.info('endpoint removed', {
      endpoint: id,
      reason,
      startedAtMs,
      sequence,
      offset: endpoint.offset,
    });
  }

  /** Removes endpoints absent from a listing, unless an entry of theirs arrives within the grace period. */
  retain(ids: ReadonlySet<string>, graceMs = 0): void {
    const unlisted = [...this.byId].filter(([id]) => !ids.has(id));
    const removeUnlisted = () =>
      unlisted
        .filter(([id, endpoint]) => this.byId.get(id) === endpoint && endpoint.isUnlisted)
        .forEach(([id]) => this.remove(id, 'absent from the listing'));
    unlisted.forEach(([, endpoint]) => {
      endpoint.isUnlisted = true;
    });
    if (graceMs > 0) {
      this.options.timers.subscribe(graceMs, removeUnlisted);
    } else {
      removeUnlisted();
    }
  }

  /** Records that a response shows an endpoint to be leaving, or replaced by another one at its address. */
  markEnded(endpoint: EndpointInstance, reason: 'replaced' | 'leaving'): void {
    const { id, startedAtMs } = endpoint.entry;
    this.endedStartTimes.set(id, startedAtMs);
    if (!endpoint.isLeaving) {
      endpoint.isLeaving = true;
      this.options.logger.info('endpoint excluded because of its response', {
        endpoint: id,
        reason,
      });
    }
  }

  /** Sends no calls to an endpoint for the time that it requested with `retry-after`, up to a limit. */
  applyRetryAfter(endpoint: EndpointInstance, retryAfterMs: number): void {
    const { timers, logger } = this.options;
    const pauseMs = Math.min(retryAfterMs, RETRY_AFTER_MAX_MS);
    endpoint.pausedUntil = Math.max(endpoint.pausedUntil, timers.now() + pauseMs);
    logger.info('endpoint paused by its retry-after header', {
      endpoint: endpoint.entry.id,
      retryAfterMs,
      pauseMs,
    });
  }

  private update(
    instance: EndpointInstance,
    entry: EndpointEntry,
    offset: Offset,
    origin: EntryOrigin,
  ): void {
    const { logger } = this.options;
    instance.entry = entry;
    instance.offset = offset;
    if (entry.state === 'leaving' && !instance.isLeaving) {
      const { id, sequence } = entry;
      logger.info('endpoint leaving', { endpoint: id, sequence, origin, offset });
    }
    instance.isLeaving ||= entry.state === 'leaving';
  }
}

function isOlder(entry: EndpointEntry, previous: EndpointEntry): boolean {
  return (
    entry.startedAtMs < previous.startedAtMs ||
    (entry.startedAtMs === previous.startedAtMs && entry.sequence < previous.sequence)
  );
}

function isSameAddress(entry: EndpointEntry, other: EndpointEntry): boolean {
  return entry.service === other.service && entry.host === other.host && entry.port === other.port;
}
