/** The state of one endpoint in this router. */
import type { EndpointInfo } from '../types/endpoints.js';
import { CircuitBreaker } from './circuitBreaker.js';
import { ConcurrencyLimit } from './concurrencyLimit.js';

/** An endpoint with its health, limit and calls in flight. */
export class Endpoint {
  readonly breaker = new CircuitBreaker();

  readonly limit: ConcurrencyLimit;

  inFlight = 0;

  /** Digests of suspect bodies in flight; a suspect runs only where no other suspect does. */
  readonly suspectDigests = new Set<string>();

  /** Number of calls in flight by body digest; all of these bodies become suspect if the endpoint crashes. */
  readonly inFlightDigests = new Map<string, number>();

  isLeaving = false;

  /** Number of crashes, compared by each call so that several calls broken by one crash count it once. */
  crashCount = 0;

  constructor(readonly info: EndpointInfo) {
    this.limit = new ConcurrencyLimit({ max: info.slots });
  }

  /** Returns whether another call may start on this endpoint. */
  hasCapacity(nowMs: number): boolean {
    return !this.isLeaving && this.inFlight < this.limit.get() && this.breaker.isAvailable(nowMs);
  }
}
