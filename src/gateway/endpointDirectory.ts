/** Tracks endpoints by their entries in the store and by the signals in their responses. */
import { LRUCache } from 'lru-cache';
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import type { EndpointEntry, EndpointListing, ListedEndpoint } from '../types/gateway.js';
import { NO_ERA } from '../store/storeEra.js';
import type { Era, Offset, ServiceName, VmId } from '../types/ids.js';
import { EndpointInstance } from './endpointInstance.js';
import type { WarmupPolicy } from './limits/warmupLimit.js';
import { VersionHistory } from './streams/versionHistory.js';
import { RENEWAL_MS } from './outageGrace.js';

/** How many removed endpoints are remembered; more than leave while a partition lasts. */
const REMOVED_ENDPOINTS_MAX = 6_000;

/** The offset of everything that was read in an earlier era. */
const EARLIER_ERA_OFFSET = -1 as Offset;

/** Limits the `retry-after` of an endpoint, so that a faulty value can't exclude the endpoint forever. */
const RETRY_AFTER_MAX_MS = 300_000;

/** Options of the directory. */
export interface EndpointDirectoryOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Default: cold endpoints have no limit. */
  readonly warmupPolicy?: WarmupPolicy;
}

/** Where an entry was received from. */
export type EntryOrigin = 'store' | 'peer';

/**
 * All endpoints by service. Entries may arrive late and out of order: from the store, which may store a delayed write after
 * a newer one, and from peers, which may have read less of the store. The start, the sequence and the offset of its record
 * decide whether an entry is newer than what is known, also about an endpoint that was removed. Offsets count only within
 * one era of the store: those of an earlier era come before all others.
 */
export class EndpointDirectory {
  /** The software versions of the endpoints, also of those that were removed. */
  readonly versionHistory = new VersionHistory();

  private readonly byId = new Map<VmId, EndpointInstance>();

  private readonly byService = new Map<ServiceName, EndpointInstance[]>();

  /** The last known state of removed endpoints, so that older entries don't add them again. */
  private readonly removed = new LRUCache<VmId, EndpointInstance>({ max: REMOVED_ENDPOINTS_MAX });

  private readonly evacuatedZones = new Set<string>();

  /** Every record of the store before this offset has been applied. */
  private nextOffset = 0 as Offset;

  /** The era of all offsets. */
  private era: Era = NO_ERA;

  /** Until this time endpoints whose entries the store lost are not removed because peers don't list them. */
  private renewalEndsAt = 0;

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Returns the era of the offsets. */
  getEra(): Era {
    return this.era;
  }

  /**
   * Enters a newer era of the store, whose offsets don't compare with the known ones. The states of endpoints are kept.
   *
   * @example
   * store.era.onChange(({ era }) => directory.startEra(era));
   */
  startEra(era: Era): void {
    if (era <= this.era) {
      return;
    }
    const isFirst = this.nextOffset === 0 && this.byId.size === 0;
    this.era = era;
    if (isFirst) {
      return;
    }
    this.nextOffset = 0 as Offset;
    this.renewalEndsAt = this.options.timers.now() + RENEWAL_MS;
    [...this.byId.values(), ...this.removed.values()].forEach((endpoint) => {
      endpoint.offset = EARLIER_ERA_OFFSET;
      endpoint.isUnlisted = false;
    });
  }

  /** Returns the endpoints of a service, including those that are leaving. */
  getEndpoints(service: ServiceName): readonly EndpointInstance[] {
    return this.byService.get(service) ?? [];
  }

  /** Returns all endpoints, including those that are leaving. */
  getInstances(): readonly EndpointInstance[] {
    return [...this.byId.values()];
  }

  /** Returns an endpoint, or `undefined` if it is not listed. */
  get(id: VmId): EndpointInstance | undefined {
    return this.byId.get(id);
  }

  /** Returns the entry of each endpoint; endpoints known to be leaving have the state `leaving`. */
  getEntries(): ListedEndpoint[] {
    return [...this.byId.values()].map(({ entry, offset, isLeaving }) => ({
      ...entry,
      offset,
      state: isLeaving ? 'leaving' : entry.state,
    }));
  }

  /** Returns all endpoints, for peers. */
  getListing(): EndpointListing {
    return { era: this.era, nextOffset: this.nextOffset, endpoints: this.getEntries() };
  }

  /** Returns the offset before which every record of the store has been applied; 0 if none has been read. */
  getNextOffset(): Offset {
    return this.nextOffset;
  }

  /** Returns how many endpoints are known. */
  getSize(): number {
    return this.byId.size;
  }

  /** Returns whether a zone is evacuated. */
  isEvacuated(zone: string): boolean {
    return this.evacuatedZones.has(zone);
  }

  /** Sends no calls to the endpoints of a zone, or does again; they may have become cold in the meantime. */
  setEvacuated(zone: string, isEvacuated: boolean): void {
    if (isEvacuated) {
      this.evacuatedZones.add(zone);
    } else {
      this.evacuatedZones.delete(zone);
    }
    const now = this.options.timers.now();
    [...this.byId.values(), ...this.removed.values()]
      .filter((endpoint) => endpoint.entry.availabilityZone === zone)
      .forEach((endpoint) => {
        endpoint.isEvacuated = isEvacuated;
        if (!isEvacuated) {
          endpoint.warmup.recordReturn(now);
        }
      });
  }

  /** Applies an entry read from the store, unless a newer one of the same id is known. */
  apply(entry: EndpointEntry, offset: Offset, era = this.era): void {
    if (era < this.era) {
      this.mergeUnordered(entry, offset, 'store');
      return;
    }
    this.advance(getOffsetAfter(offset));
    this.applyEntry(entry, offset, 'store');
  }

  /** Removes an endpoint whose entry the record at the offset removes. Its calls in flight continue. */
  remove(id: VmId, offset: Offset, era = this.era): void {
    if (era < this.era) {
      return;
    }
    const end = getOffsetAfter(offset);
    this.advance(end);
    const endpoint = this.byId.get(id);
    if (endpoint && endpoint.offset < end) {
      this.removeEndpoint(endpoint, end, 'entry removed');
    }
  }

  /** Removes endpoints absent from a listing as of an offset, unless a newer entry of theirs arrives within the grace period. */
  retain(ids: ReadonlySet<string>, end: Offset, graceMs = 0, era = this.era): void {
    if (era < this.era) {
      return;
    }
    this.advance(end);
    const unlisted = this.getUnlisted(ids, end);
    const removeUnlisted = () => {
      // A listing of an earlier era does not end the grace period of a later one.
      if (this.era === era) {
        unlisted
          .filter(
            (endpoint) => this.byId.get(endpoint.entry.id) === endpoint && endpoint.isUnlisted,
          )
          .forEach((endpoint) => this.removeEndpoint(endpoint, end, 'absent from the listing'));
      }
    };
    unlisted.forEach((endpoint) => {
      endpoint.isUnlisted = true;
    });
    if (graceMs > 0) {
      this.options.timers.subscribe(graceMs, removeUnlisted);
    } else {
      removeUnlisted();
    }
  }

  /** Applies what a peer knows beyond the records that this process has read itself. */
  merge({ era = NO_ERA, nextOffset, endpoints }: EndpointListing): void {
    if (era < this.era) {
      endpoints.forEach(({ offset, ...entry }) => this.mergeUnordered(entry, offset, 'peer'));
      return;
    }
    this.startEra(era);
    endpoints.forEach(({ offset, ...entry }) => {
      if (offset >= this.nextOffset || this.nextOffset === 0) {
        this.applyEntry(entry, offset, 'peer');
      } else {
        this.applyLeaving(entry, offset, 'peer');
      }
    });
    const isRenewing = this.options.timers.now() < this.renewalEndsAt;
    this.getUnlisted(new Set(endpoints.map(({ id }) => id)), nextOffset)
      .filter(({ offset }) => !isRenewing || offset !== EARLIER_ERA_OFFSET)
      .forEach((endpoint) =>
        this.removeEndpoint(endpoint, nextOffset, 'absent from the listing of a peer'),
      );
  }

  /** Applies an entry whose offset does not compare: start and sequence order it after the known one of its endpoint. */
  private mergeUnordered(entry: EndpointEntry, offset: Offset, origin: EntryOrigin): void {
    const known = this.byId.get(entry.id);
    if (known && !isOlder(entry, known)) {
      this.applyEntry(entry, EARLIER_ERA_OFFSET, origin);
    } else {
      this.applyLeaving(entry, offset, origin);
    }
  }

  /** Records that a response shows an endpoint to be leaving, or replaced by another one at its address. */
  markEnded(endpoint: EndpointInstance, reason: 'replaced' | 'leaving'): void {
    const { id, startedAtMs } = endpoint.entry;
    const { isLeaving } = endpoint;
    const current = this.getLastKnown(id);
    endpoint.isLeaving = true;
    // The entry may have been removed or have got another address since the call was sent.
    if (current?.entry.startedAtMs === startedAtMs) {
      current.isLeaving = true;
    }
    if (!isLeaving) {
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

  private advance(offset: Offset): void {
    if (offset > this.nextOffset) {
      this.nextOffset = offset;
    }
  }

  private getLastKnown(id: VmId): EndpointInstance | undefined {
    return this.byId.get(id) ?? this.removed.get(id);
  }

  /** Returns the endpoints absent from a listing as of an offset; the listing can't have those of later records. */
  private getUnlisted(ids: ReadonlySet<string>, end: Offset): EndpointInstance[] {
    return [...this.byId.values()].filter(
      ({ entry, offset }) => !ids.has(entry.id) && offset < end,
    );
  }

  private applyEntry(entry: EndpointEntry, offset: Offset, origin: EntryOrigin): void {
    const { id } = entry;
    const known = this.getLastKnown(id);
    const isPresent = this.byId.has(id);
    this.applyLeaving(entry, offset, origin);
    if (known && isPresent && isOlder(entry, known)) {
      return;
    }
    if (known && !isPresent && isOutdated(entry, offset, known)) {
      this.ignoreOutdated(known, entry, offset, origin);
      return;
    }
    const isSameStart = known?.entry.startedAtMs === entry.startedAtMs;
    if (known && isSameStart && isSameAddress(entry, known.entry)) {
      this.update(known, entry, offset);
      if (!isPresent) {
        this.add(known, origin);
      }
      return;
    }
    if (known && isPresent) {
      this.removeEndpoint(known, offset, 'endpoint restarted');
    }
    const endpoint = this.createInstance(entry, offset, known);
    if (known && isSameStart) {
      endpoint.isLeaving ||= known.isLeaving;
      endpoint.pausedUntil = known.pausedUntil;
      endpoint.limit = known.limit;
    }
    this.add(endpoint, origin);
  }

  /** Creates an instance that continues what is known of the warm-up under its id. */
  private createInstance(
    entry: EndpointEntry,
    offset: Offset,
    known: EndpointInstance | undefined,
  ): EndpointInstance {
    const { timers, warmupPolicy } = this.options;
    const endpoint = new EndpointInstance(entry, offset, warmupPolicy);
    endpoint.warmup = known?.warmup ?? endpoint.warmup;
    endpoint.isEvacuated = this.isEvacuated(entry.availabilityZone);
    endpoint.warmup.applyEntry(entry, timers.now());
    return endpoint;
  }

  private add(endpoint: EndpointInstance, origin: EntryOrigin): void {
    const { entry, offset } = endpoint;
    this.recordVersion(entry);
    this.removed.delete(entry.id);
    this.byId.set(entry.id, endpoint);
    getOrCreate(this.byService, entry.service, () => []).push(endpoint);
    this.options.logger.info('endpoint added', {
      endpoint: entry.id,
      service: entry.service,
      state: entry.state,
      startedAtMs: entry.startedAtMs,
      sequence: entry.sequence,
      softwareVersion: entry.softwareVersion,
      origin,
      offset,
    });
  }

  private recordVersion({ service, softwareVersion }: EndpointEntry): void {
    this.versionHistory.record(service, softwareVersion, this.options.timers.now());
  }

  private removeEndpoint(endpoint: EndpointInstance, end: Offset, reason: string): void {
    const { id, service, startedAtMs, sequence } = endpoint.entry;
    this.recordVersion(endpoint.entry);
    this.byId.delete(id);
    const others = this.getEndpoints(service).filter((other) => other !== endpoint);
    this.byService.set(service, others);
    endpoint.offset = end;
    this.removed.set(id, endpoint);
    this.options.logger.info('endpoint removed', {
      endpoint: id,
      reason,
      startedAtMs,
      sequence,
      offset: end,
    });
  }

  /** Keeps the newest entry before the removal, to which entries that are stored late are compared. */
  private ignoreOutdated(
    removed: EndpointInstance,
    entry: EndpointEntry,
    offset: Offset,
    origin: EntryOrigin,
  ): void {
    const { id, startedAtMs, sequence } = entry;
    if (startedAtMs > removed.entry.startedAtMs) {
      this.removed.set(id, this.createInstance(entry, removed.offset, removed));
    } else if (!isOlder(entry, removed)) {
      removed.entry = entry;
      removed.warmup.applyEntry(entry, this.options.timers.now());
    }
    const fields = { endpoint: id, startedAtMs, sequence, origin, offset };
    this.options.logger.info('endpoint entry ignored: older than the removal', fields);
  }

  /** An endpoint that leaves never returns within the same start, so this counts in whatever order it arrives. */
  private applyLeaving(
    { id, startedAtMs, sequence, state }: EndpointEntry,
    offset: Offset,
    origin: EntryOrigin,
  ): void {
    const known = this.getLastKnown(id);
    if (state === 'leaving' && known?.entry.startedAtMs === startedAtMs && !known.isLeaving) {
      known.isLeaving = true;
      this.options.logger.info('endpoint leaving', { endpoint: id, sequence, origin, offset });
    }
  }

  private update(instance: EndpointInstance, entry: EndpointEntry, offset: Offset): void {
    const isRewritten = instance.offset === EARLIER_ERA_OFFSET && offset > EARLIER_ERA_OFFSET;
    instance.isUnlisted &&= !isRewritten && entry.sequence <= instance.entry.sequence;
    this.recordVersion(instance.entry);
    this.recordVersion(entry);
    instance.entry = entry;
    instance.isEvacuated = this.isEvacuated(entry.availabilityZone);
    instance.warmup.applyEntry(entry, this.options.timers.now());
    instance.offset = Math.max(instance.offset, offset) as Offset;
  }
}

function isOlder(entry: EndpointEntry, known: EndpointInstance): boolean {
  const { startedAtMs, sequence } = known.entry;
  return (
    entry.startedAtMs < startedAtMs ||
    (entry.startedAtMs === startedAtMs && entry.sequence < sequence)
  );
}

/** Returns whether an entry was written before its endpoint was removed, although it may have been stored afterwards. */
function isOutdated(entry: EndpointEntry, offset: Offset, removed: EndpointInstance): boolean {
  const { startedAtMs, sequence } = removed.entry;
  return (
    offset < removed.offset ||
    isOlder(entry, removed) ||
    (entry.startedAtMs === startedAtMs && entry.sequence === sequence)
  );
}

function getOffsetAfter(offset: Offset): Offset {
  return (offset + 1) as Offset;
}

function isSameAddress(entry: EndpointEntry, other: EndpointEntry): boolean {
  return entry.service === other.service && entry.host === other.host && entry.port === other.port;
}
