/** Load-balancing policies that choose among the endpoints with free capacity. */
import { getHash32 } from '../core/utilities.js';
import type { Endpoint } from './endpoint.js';

/** The properties of a request that a choice may depend on. */
export interface PickRequest {
  /** The start of the prompt, which engines cache; empty for calls without one. */
  readonly prefix: string;
}

/** Chooses an endpoint. */
export abstract class Picker {
  /** Returns one of the candidates, or `undefined` if there is none. */
  abstract pick(candidates: readonly Endpoint[], request: PickRequest): Endpoint | undefined;
}

/** Picks the candidates in turn. */
export class RoundRobin extends Picker {
  private next = 0;

  override pick(candidates: readonly Endpoint[]): Endpoint | undefined {
    this.next += 1;
    return candidates[this.next % Math.max(1, candidates.length)];
  }
}

/** Picks the less loaded of two random candidates. */
export class PowerOfTwoChoices extends Picker {
  constructor(private readonly random: () => number = Math.random) {
    super();
  }

  override pick(candidates: readonly Endpoint[]): Endpoint | undefined {
    const first = this.pickRandom(candidates);
    const second = this.pickRandom(candidates);
    if (!first || !second) {
      return first;
    }
    return getLoad(second) < getLoad(first) ? second : first;
  }

  private pickRandom(candidates: readonly Endpoint[]): Endpoint | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}

/** Ratio to the mean load below which a preferred endpoint is still picked. */
const LOAD_BOUND_FACTOR = 1.25;

/**
 * Prefers the endpoint that probably has the prompt's prefix cached, by rendezvous hashing of the
 * prefix, and skips endpoints whose load reaches the bound (consistent hashing with bounded loads).
 */
export class PrefixAffinity extends Picker {
  override pick(candidates: readonly Endpoint[], request: PickRequest): Endpoint | undefined {
    const inFlight = candidates.reduce((sum, endpoint) => sum + endpoint.inFlight, 0);
    const bound = Math.ceil((LOAD_BOUND_FACTOR * (inFlight + 1)) / Math.max(1, candidates.length));
    let best: Endpoint | undefined;
    let bestScore = -1;
    candidates.forEach((endpoint) => {
      const score = getHash32(`${endpoint.info.vm}\n${request.prefix}`);
      if (endpoint.inFlight < bound && score > bestScore) {
        best = endpoint;
        bestScore = score;
      }
    });
    return best;
  }
}

function getLoad(endpoint: Endpoint): number {
  return endpoint.inFlight / endpoint.limit.get();
}
