/** Decides at which software version a stream began that a caller takes up again. */
import type { ServiceName, SoftwareVersion } from '../../types/ids.js';
import type { SeenVersion } from './versionHistory.js';

/** Where a stream began, as one record states it. */
export interface RecordedOrigin {
  readonly service: ServiceName;
  readonly version: SeenVersion;
}

/** The inputs of the decision. */
export interface OriginInputs {
  /** What this process and the records that it has read say of the stream. */
  readonly recorded: readonly RecordedOrigin[];
  /** The service that the route chose for the call. */
  readonly service: ServiceName;
  /** Whether the route leads to that service only. */
  readonly isOnlyService: boolean;
  /** The versions of that service that this process or a record has seen within the retention. */
  readonly seenVersions: ReadonlySet<SeenVersion>;
  /** Whether all records were read after the call arrived. */
  readonly isCurrent: boolean;
}

/** The decision, with the reason. */
export type OriginDecision =
  | {
      readonly kind: 'known';
      readonly service: ServiceName;
      readonly version: SoftwareVersion;
      /** Whether a record names the stream, or no other version was in service. */
      readonly reason: 'recorded' | 'onlyVersion';
    }
  | {
      readonly kind: 'unknown';
      readonly reason: 'contradictory' | 'unknownVersion' | 'notRecorded' | 'recordsNotRead';
    };

/**
 * Returns where a stream began. A missing record may mean that the process ended before it wrote the record. So it counts
 * only if the records as of now name no second version: a process names a version before its streams begin there.
 *
 * @example
 * decideOrigin({ recorded: [], service, isOnlyService: true, seenVersions: new Set([v1, v2]), isCurrent: true });
 * // unknown: notRecorded
 */
export function decideOrigin(inputs: OriginInputs): OriginDecision {
  const { recorded, service, isOnlyService, seenVersions, isCurrent } = inputs;
  const [first, ...others] = recorded;
  if (first) {
    if (others.some((other) => !isSameOrigin(other, first))) {
      return { kind: 'unknown', reason: 'contradictory' };
    }
    return first.version === undefined
      ? { kind: 'unknown', reason: 'unknownVersion' }
      : { kind: 'known', service: first.service, version: first.version, reason: 'recorded' };
  }
  const [version, ...otherVersions] = seenVersions;
  if (version === undefined || otherVersions.length > 0 || !isOnlyService) {
    return { kind: 'unknown', reason: 'notRecorded' };
  }
  return isCurrent
    ? { kind: 'known', service, version, reason: 'onlyVersion' }
    : { kind: 'unknown', reason: 'recordsNotRead' };
}

function isSameOrigin(a: RecordedOrigin, b: RecordedOrigin): boolean {
  return a.service === b.service && a.version === b.version;
}
