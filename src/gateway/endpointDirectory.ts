/** The endpoints that are known, from their own entries and from what their answers tell. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import { CircuitBreaker } from '../routing/circuitBreaker.js';
import type { EndpointEntry } from '../types/gateway.js';
import type { ServiceName, VmId } from '../types/ids.js';

/** What an endpoint asks for beyond this is an error of its own, which must not keep it idle for ever. */
const RETRY_AFTER_MAX_MS = 300_000;

/** One start of one endpoint as this process sees it. */
export class EndpointInstance {
  readonly breaker = new CircuitBreaker({
    consecutiveFailureThreshold: 3,
    initialOpenMs: 300,
    openMaxMs: 2_000,
  });

  /** Calls of this process that run there now. */
  inFlight = 0;

  /** Prompt tokens of this process's calls that have had no first event yet. */
  pendingPrefillTokens = 0;

  /** Whether the endpoint takes no new work, by its entry or by its own answers. */
  isLeaving = false;

  /** Whether the endpoint was not listed when the list was last read as a whole. */
  isUnlisted = false;

  /** Until when the endpoint gets no call of this process, after it refused one or could not be reached. */
  backoffUntil = 0;

  /** Until when the endpoint asked this process for no call. */
  pausedUntil = 0;

  constructor(public entry: EndpointEntry) {
    this.isLeaving = entry.state === 'leaving';
  }

  /** Returns whether a call may be sent there at all. */
  isEligible(nowMs: number): boolean {
    return !this.isLeaving && this.pausedUntil <= nowMs;
  }

  /** Returns whether a call may start there with good prospects. */
  isAvailable(nowMs: number): boolean {
    return this.isEligible(nowMs) && this.backoffUntil <= nowMs && this.breaker.isAvailable(nowMs);
  }
}

/** Options of the directory. */
export interface EndpointDirectoryOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
}

/** All endpoints by service. */
export class EndpointDirectory {
  private readonly byId = new Map<VmId, EndpointInstance>();

  private readonly byService = new Map<ServiceName, EndpointInstance[]>();

  /** Starts that are known to have ended, by id: an older entry of the id does not bring them back. */
  private readonly endedStartTimes = new Map<VmId, number>();

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Returns the endpoints of a service, leaving ones included. */
  getEndpoints(service: ServiceName): readonly EndpointInstance[] {
    return this.byService.get(service) ?? [];
  }

  /** Returns the entry of each endpoint; those that leave say so. */
  getEntries(): EndpointEntry[] {
    return [...this.byId.values()].map(({ entry, isLeaving }) =>
      isLeaving ? { ...entry, state: 'leaving' } : entry,
    );
  }

  /** Returns how many endpoints are known. */
  getSize(): number {
    return this.byId.size;
  }

  /** Takes an entry in, unless a later start or a later entry of the same start is known. */
  apply(entry: EndpointEntry): void {
    const known = this.byId.get(entry.id);
    if (known) {
      known.isUnlisted = false;
    }
    if (known && isOlder(entry, known.entry)) {
      return;
    }
    if (
      known &&
      known.entry.startedAtMs === entry.startedAtMs &&
      isSameAddress(entry, known.entry)
    ) {
      this.update(known, entry);
      return;
    }
    if (known) {
      this.remove(entry.id, 'started again');
    }
    const endpoint = new EndpointInstance(entry);
    endpoint.isLeaving ||= this.endedStartTimes.get(entry.id) === entry.startedAtMs;
    this.byId.set(entry.id, endpoint);
    getOrCreate(this.byService, entry.service, () => []).push(endpoint);
    this.options.logger.info('endpoint known', {
      endpoint: entry.id,
      service: entry.service,
      state: entry.state,
      startedAtMs: entry.startedAtMs,
    });
  }

  /** Drops an endpoint whose entry is gone. Calls that run there go on. */
  remove(id: VmId, reason: string): void {
    const endpoint = this.byId.get(id);
    if (!endpoint) {
      return;
    }
    endpoint.isLeaving = true;
    this.byId.delete(id);
    const others = this.getEndpoints(endpoint.entry.service).filter((other) => other !== endpoint);
    this.byService.set(endpoint.entry.service, others);
    this.options.logger.info('endpoint gone', { endpoint: id, reason });
  }

  /** Drops every endpoint that is not listed any more, after a time in which it may be listed again. */
  retain(ids: ReadonlySet<string>, graceMs = 0): void {
    const missing = [...this.byId].filter(([id]) => !ids.has(id));
    const drop = () =>
      missing
        .filter(([id, endpoint]) => this.byId.get(id) === endpoint && endpoint.isUnlisted)
        .forEach(([id]) => this.remove(id, 'not listed'));
    missing.forEach(([, endpoint]) => {
      endpoint.isUnlisted = true;
    });
    if (graceMs > 0) {
      this.options.timers.subscribe(graceMs, drop);
    } else {
      drop();
    }
  }

  /** Notes what an answer tells: the start leaves, or another endpoint answers at its address. */
  markEnded(endpoint: EndpointInstance, reason: 'replaced' | 'leaving'): void {
    const { id, startedAtMs } = endpoint.entry;
    this.endedStartTimes.set(id, startedAtMs);
    if (!endpoint.isLeaving) {
      endpoint.isLeaving = true;
      this.options.logger.info('endpoint ended by its answer', { endpoint: id, reason });
    }
  }

  /** Notes that an endpoint wants no call of this process for a time, in milliseconds. */
  applyRetryAfter(endpoint: EndpointInstance, retryAfterMs: number): void {
    const { timers, logger } = this.options;
    const pauseMs = Math.min(retryAfterMs, RETRY_AFTER_MAX_MS);
    endpoint.pausedUntil = Math.max(endpoint.pausedUntil, timers.now() + pauseMs);
    logger.info('endpoint asks to be spared', {
      endpoint: endpoint.entry.id,
      spareMs: retryAfterMs,
      forMs: pauseMs,
    });
  }

  private update(known: EndpointInstance, entry: EndpointEntry): void {
    const { logger } = this.options;
    known.entry = entry;
    if (entry.state === 'leaving' && !known.isLeaving) {
      logger.info('endpoint leaving', { endpoint: entry.id, sequence: entry.sequence });
    }
    known.isLeaving ||= entry.state === 'leaving';
  }
}

function isOlder(entry: EndpointEntry, known: EndpointEntry): boolean {
  return (
    entry.startedAtMs < known.startedAtMs ||
    (entry.startedAtMs === known.startedAtMs && entry.sequence < known.sequence)
  );
}

function isSameAddress(entry: EndpointEntry, known: EndpointEntry): boolean {
  return entry.service === known.service && entry.host === known.host && entry.port === known.port;
}
