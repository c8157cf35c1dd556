/** Remembers which software versions the endpoints of each service had. */
import { getOrCreate } from '../../core/utilities.js';
import type { ServiceName, SoftwareVersion } from '../../types/ids.js';

/** A version, or `undefined` for one that can't be used. */
export type SeenVersion = SoftwareVersion | undefined;

/** When each software version of each service was last seen. */
export class VersionHistory {
  private readonly lastSeen = new Map<ServiceName, Map<SeenVersion, number>>();

  /** Called when a service has a version that it was not known to have. */
  private listener: () => void = () => {};

  /** Sets the listener for versions that are new to their service. */
  onNewVersion(listener: () => void): void {
    this.listener = listener;
  }

  /** Records that an endpoint of a service has a version, or had it until now. */
  record(service: ServiceName, version: SeenVersion, nowMs: number): void {
    const versions = getOrCreate(this.lastSeen, service, () => new Map());
    const isNew = !versions.has(version);
    versions.set(version, nowMs);
    if (isNew) {
      this.listener();
    }
  }

  /**
   * Returns the versions of each service that were seen since a time, and forgets the others.
   *
   * @example
   * history.getSince(timers.now() - 60_000).get(service); // Set { 'v1', 'v2' } during a release
   */
  getSince(sinceMs: number): ReadonlyMap<ServiceName, ReadonlySet<SeenVersion>> {
    const result = new Map<ServiceName, ReadonlySet<SeenVersion>>();
    this.lastSeen.forEach((versions, service) => {
      versions.forEach((seenAt, version) => {
        if (seenAt < sinceMs) {
          versions.delete(version);
        }
      });
      if (versions.size === 0) {
        this.lastSeen.delete(service);
      } else {
        result.set(service, new Set(versions.keys()));
      }
    });
    return result;
  }
}
