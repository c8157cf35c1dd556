/**
 * Divides the limit that an endpoint names for all gateways together, without communication. Equal parts of a limit of a
 * few calls a second are far below one call for each of many gateways, so only as many gateways share it as can each hold
 * one call ready within the tolerance: the first ones in the order of rendezvous hashing for the endpoint.
 */
import { getHash32 } from '../../core/utilities.js';
import type { BucketShape } from '../../routing/tokenBucket.js';

/** The position of a gateway in the fleet, for one endpoint. */
export interface GatewayRank {
  /** From 0; `undefined` if the list of the fleet does not have this gateway yet. */
  readonly rank: number | undefined;
  /** The number of gateways in the list. */
  readonly fleetSize: number;
}

/** An endpoint tolerates this many calls more than one and a half times its limit, over this time. */
const TOLERATED_CALLS = 5;
const TOLERATED_RATIO = 0.5;
const TOLERANCE_WINDOW_S = 4;
/** Left for gateways that disagree about the fleet for a moment. */
const RESERVED_CALLS = 3;
/** The limit can only end in a response, so a few calls are sent whatever the limit. */
const LIMIT_MIN_PER_SECOND = 0.25;

/**
 * Returns the part of one gateway. In any time the parts of all gateways allow the limit and, once, the tolerance.
 *
 * @example
 * getRateShare(1.5, { rank: 0, fleetSize: 86 }); // { ratePerSecond: 0.3, size: 1 }: five gateways share the limit
 */
export function getRateShare(
  limitPerSecond: number,
  { rank, fleetSize }: GatewayRank,
): BucketShape {
  const tolerance =
    TOLERATED_CALLS + TOLERATED_RATIO * TOLERANCE_WINDOW_S * limitPerSecond - RESERVED_CALLS;
  const sharerCount = Math.min(fleetSize, Math.floor(tolerance));
  if (rank === undefined || rank >= sharerCount) {
    return { ratePerSecond: 0, size: 1 };
  }
  return {
    ratePerSecond: Math.max(limitPerSecond, LIMIT_MIN_PER_SECOND) / sharerCount,
    size: tolerance / sharerCount,
  };
}

/**
 * Returns the rank of a gateway for a key. It changes only where gateways before it join or leave.
 *
 * @example
 * getGatewayRank('i-1', 'vm-1', ['vm-1']); // { rank: 0, fleetSize: 1 }
 */
export function getGatewayRank(key: string, self: string, fleet: readonly string[]): GatewayRank {
  if (!fleet.includes(self)) {
    return { rank: undefined, fleetSize: fleet.length };
  }
  const getScore = (gateway: string) => getHash32(`${gateway}\n${key}`);
  const ownScore = getScore(self);
  const isBefore = (gateway: string) => {
    const score = getScore(gateway);
    return score > ownScore || (score === ownScore && gateway < self);
  };
  return { rank: fleet.filter(isBefore).length, fleetSize: fleet.length };
}
