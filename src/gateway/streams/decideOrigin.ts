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
  /** The versions of that service that this process or a record has seen within the retention. */
  readonly seenVersions: ReadonlySet<SeenVersion>;
  /** Whether `seenVersions` covers the whole retention. */
  readonly isCovered: boolean;
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
      readonly reason: 'contradictory' | 'unusableVersion' | 'notRecorded' | 'notCovered';
    };

/**
 * Returns where a stream began. A missing record counts only while nothing shows a second version: it may also mean that
 * the process ended before it wrote the record.
 *
 * @example
 * decideOrigin({ recorded: [], service, seenVersions: new Set([v1, v2]), isCovered: true }); // unknown: notRecorded
 */
export function decideOrigin(inputs: OriginInputs): OriginDecision {
  const { recorded, service, seenVersions, isCovered } = inputs;
  const [first, ...others] = recorded;
  if (first) {
    if (others.some((other) => !isSameOrigin(other, first))) {
      return { kind: 'unknown', reason: 'contradictory' };
    }
    return first.version === undefined
      ? { kind: 'unknown', reason: 'unusableVersion' }
      : { kind: 'known', service: first.service, version: first.version, reason: 'recorded' };
  }
  if (!isCovered) {
    return { kind: 'unknown', reason: 'notCovered' };
  }
  const [version, ...otherVersions] = seenVersions;
  return version === undefined || otherVersions.length > 0
    ? { kind: 'unknown', reason: 'notRecorded' }
    : { kind: 'known', service, version, reason: 'onlyVersion' };
}

function isSameOrigin(a: RecordedOrigin, b: RecordedOrigin): boolean {
  return a.service === b.service && a.version === b.version;
}
