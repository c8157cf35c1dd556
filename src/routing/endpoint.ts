/** One endpoint as this router sees it. */
import type { EndpointInfo } from '../types/endpoints.js';
import { CircuitBreaker } from './circuitBreaker.js';
import { ConcurrencyLimit } from './concurrencyLimit.js';

/** An endpoint's state in this router. */
export class Endpoint {
  readonly breaker = new CircuitBreaker();

  readonly limit: ConcurrencyLimit;

  inFlight = 0;

  /** Digests of suspect bodies in flight, which are kept apart from each other. */
  readonly suspectDigests = new Set<string>();

  /** Bodies in flight, to be suspected together where the endpoint dies. */
  readonly inFlightDigests = new Map<string, number>();

  isLeaving = false;

  /** Counts the endpoint's deaths, so that the calls broken by one death count it once. */
  crashCount = 0;

  constructor(readonly info: EndpointInfo) {
    this.limit = new ConcurrencyLimit({ max: info.slots });
  }

  /** Returns whether a request may start here now. */
  hasCapacity(nowMs: number): boolean {
    return !this.isLeaving && this.inFlight < this.limit.get() && this.breaker.isAvailable(nowMs);
  }
}
