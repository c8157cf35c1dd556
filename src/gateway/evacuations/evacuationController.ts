/**
 * Knows which availability zones are evacuated, from the operator's records and from what peers have read of them. The
 * position of the record decides which of two statements about a zone is newer, in whatever order they arrive.
 */
import type { Logger } from '../../core/logging.js';
import type { TimerService } from '../../core/timers.js';
import type { Offset } from '../../types/ids.js';
import type { EvacuationListing, EvacuationWord, RecordPosition } from '../../types/peers.js';
import type { KeyedRecord } from '../../types/store.js';
import { comparePositions, getLater, START_POSITION } from './recordPosition.js';
import { readEvacuationListing } from './evacuationListing.js';

/** Options of the controller. */
export interface EvacuationControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Keys of evacuations begin with this; the rest is the zone. */
  readonly keyPrefix: string;
  /** Called when an evacuation begins or ends. */
  readonly onChange: (zone: string, isEvacuated: boolean) => void;
  /** Returns whether an endpoint of the zone is known; used for the log only. Default: all zones are known. */
  readonly isZoneKnown?: (zone: string) => boolean;
}

/** A snapshot of the operator's topic. */
export interface EvacuationSnapshot {
  readonly keys: ReadonlySet<string>;
  readonly end: Offset;
  /** Whether keys may be missing that are written again soon. */
  readonly isAfterOutage: boolean;
  readonly isAfterRewind?: boolean;
  /** Of this snapshot and the records after it. Default 0. */
  readonly era?: number;
}

/** Where a statement was received from. */
type Origin = 'store' | 'peer';

/** The newest statement about one zone. */
interface ZoneState {
  readonly position: RecordPosition;
  readonly isEvacuated: boolean;
  /** When the evacuation ends unless a newer record renews it; set while keys may be missing. */
  readonly expiresAt: number | undefined;
}

/** The operator writes lost records again within this time. */
const RENEWAL_MS = 2_000;
const ZONE_CHARACTERS_MAX = 512;
/** Far above the number of zones of a region; bounds the memory that odd keys can take. */
const ZONES_MAX = 1_000;
const SHOWN_CHARACTERS_MAX = 80;

/** The evacuations as one gateway knows them. */
export class EvacuationController {
  private readonly zones = new Map<string, ZoneState>();

  /** Every record before this position has been applied. */
  private next = START_POSITION;

  /** Every record before this position was applied by a peer that has told its state. */
  private toldNext = START_POSITION;

  /** Of the newest snapshot. */
  private era = START_POSITION.era;

  constructor(private readonly options: EvacuationControllerOptions) {}

  /** Returns whether no call may be sent to endpoints of the zone. */
  isEvacuated(zone: string): boolean {
    return this.zones.get(zone)?.isEvacuated ?? false;
  }

  /** Applies a record of the operator's topic; ignores those with other keys. */
  applyRecord({ key, value, offset }: KeyedRecord): void {
    const position = { era: this.era, offset };
    this.advance({ ...position, offset: offset + 1 });
    const zone = this.tryGetZone(key);
    if (zone !== undefined) {
      this.apply({ zone, position, isEvacuated: value !== undefined }, 'store');
    }
  }

  /** Ends the evacuations whose keys a snapshot lacks, after a delay if keys may be missing. */
  applySnapshot(snapshot: EvacuationSnapshot): void {
    const { keys, end, isAfterOutage, isAfterRewind = false, era = START_POSITION.era } = snapshot;
    const position = { era, offset: end };
    this.era = era;
    this.advance(position);
    const listed = new Set([...keys].flatMap((key) => this.tryGetZone(key) ?? []));
    this.endUnlisted(listed, position, isAfterOutage || isAfterRewind, 'store');
  }

  /** Returns what this gateway knows, for peers. */
  getListing(): EvacuationListing {
    const now = this.options.timers.now();
    return {
      next: this.next,
      zones: [...this.zones].map(([zone, { position, isEvacuated, expiresAt }]) => ({
        zone,
        position,
        isEvacuated,
        leftMs: expiresAt === undefined ? undefined : Math.max(0, expiresAt - now),
      })),
    };
  }

  /** Merges what a peer knows; a peer of an earlier version sends nothing. */
  merge(received: unknown): void {
    if (received === undefined) {
      return;
    }
    const { listing, problems } = readEvacuationListing(received);
    problems.forEach((detail) =>
      this.options.logger.warn('evacuations of a peer ignored: malformed', { detail }),
    );
    if (!listing) {
      return;
    }
    listing.zones.forEach((word) => this.mergeWord(word));
    const listed = new Set(listing.zones.map(({ zone }) => zone));
    this.endUnlisted(listed, listing.next, false, 'peer');
    // The listing replaces the records before its position, so peers that are told later can rely on it too.
    this.advance(listing.next);
    this.toldNext = getLater(this.toldNext, listing.next);
  }

  private mergeWord(word: EvacuationWord): void {
    const { zone, position, isEvacuated, leftMs } = word;
    const known = this.zones.get(zone);
    if (known || comparePositions(position, this.next) >= 0) {
      this.apply({ zone, position, isEvacuated, leftMs }, 'peer');
    } else if (isEvacuated && position.era < this.next.era) {
      // The record may be one that a rewind of the store has lost and the operator has not written again yet.
      this.apply({ zone, position, isEvacuated, leftMs: leftMs ?? RENEWAL_MS }, 'peer');
    }
  }

  private apply({ zone, position, isEvacuated, leftMs }: EvacuationWord, origin: Origin): void {
    const known = this.zones.get(zone);
    const isOutdated = known
      ? comparePositions(position, known.position) <= 0
      : origin === 'store' && comparePositions(position, this.toldNext) < 0;
    if (isOutdated) {
      return;
    }
    if (zone.length > ZONE_CHARACTERS_MAX || !this.hasSpaceFor(zone)) {
      this.options.logger.warn('evacuation ignored: zone name too long, or too many zones', {
        zone: shorten(zone),
        origin,
      });
      return;
    }
    const expiresInMs = isEvacuated ? leftMs : undefined;
    this.set(zone, { position, isEvacuated, expiresAt: undefined }, origin);
    if (expiresInMs !== undefined) {
      this.expire(zone, position, Math.min(expiresInMs, RENEWAL_MS));
    }
  }

  private endUnlisted(
    listed: ReadonlySet<string>,
    end: RecordPosition,
    mayKeysBeMissing: boolean,
    origin: Origin,
  ): void {
    this.zones.forEach(({ position, isEvacuated }, zone) => {
      if (!isEvacuated || listed.has(zone) || comparePositions(position, end) >= 0) {
        return;
      }
      if (mayKeysBeMissing || end.era !== position.era) {
        this.expire(zone, end, RENEWAL_MS);
      } else {
        this.set(zone, { position: end, isEvacuated: false, expiresAt: undefined }, origin);
      }
    });
  }

  /** Ends an evacuation as of a position after a delay, unless a newer record arrives. An earlier end stays. */
  private expire(zone: string, end: RecordPosition, delayMs: number): void {
    const { timers, logger } = this.options;
    const state = this.zones.get(zone);
    const expiresAt = timers.now() + delayMs;
    if (!state?.isEvacuated || (state.expiresAt ?? Number.POSITIVE_INFINITY) <= expiresAt) {
      return;
    }
    const expiring = { ...state, expiresAt };
    this.zones.set(zone, expiring);
    logger.info('evacuation may have ended', { zone: shorten(zone), ...end, delayMs });
    timers.subscribe(delayMs, () => {
      if (this.zones.get(zone) === expiring) {
        this.set(zone, { position: end, isEvacuated: false, expiresAt: undefined }, 'store');
      }
    });
  }

  private set(zone: string, state: ZoneState, origin: Origin): void {
    const { logger, onChange, isZoneKnown } = this.options;
    const wasEvacuated = this.isEvacuated(zone);
    this.zones.delete(zone); // the order of the map is that of the last changes
    this.zones.set(zone, state);
    if (state.isEvacuated === wasEvacuated) {
      return;
    }
    const fields = { zone: shorten(zone), ...state.position, origin };
    logger.info(state.isEvacuated ? 'zone evacuated' : 'evacuation ended', fields);
    if (state.isEvacuated && isZoneKnown && !isZoneKnown(zone)) {
      logger.warn('evacuated zone has no known endpoint', fields);
    }
    onChange(zone, state.isEvacuated);
  }

  /** Forgets the removal that changed longest ago if there are too many zones; evacuations in force stay. */
  private hasSpaceFor(zone: string): boolean {
    if (this.zones.size < ZONES_MAX || this.zones.has(zone)) {
      return true;
    }
    const removed = [...this.zones].find(([, { isEvacuated }]) => !isEvacuated);
    return removed !== undefined && this.zones.delete(removed[0]);
  }

  private tryGetZone(key: string): string | undefined {
    const { keyPrefix, logger } = this.options;
    if (!key.startsWith(keyPrefix)) {
      return undefined;
    }
    const zone = key.slice(keyPrefix.length);
    if (zone === '') {
      logger.warn('evacuation ignored: the key names no zone', { key });
      return undefined;
    }
    return zone;
  }

  private advance(position: RecordPosition): void {
    this.next = getLater(this.next, position);
  }
}

function shorten(zone: string): string {
  return zone.slice(0, SHOWN_CHARACTERS_MAX);
}
