/**
 * Chooses the endpoint of a call. It answers the two ways in which prompts wait: endpoints that read long prompts
 * one after another, which outstanding tokens show, and prompts read again because their shared parts are cached
 * elsewhere, which rendezvous over the parts avoids without talk between routers.
 */
import { getHash32 } from '../core/utilities.js';
import type { PromptPart } from '../types/gateway.js';

/** One endpoint as the choice sees it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Calls of this router there. */
  readonly inFlight: number;
  /** Prompt tokens of this router's calls there without a first event yet. */
  readonly pendingPrefillTokens: number;
}

/** The call to place. */
export interface PlacementCall {
  readonly promptParts: readonly PromptPart[];
  readonly availabilityZone: string;
}

/** What a running call adds to the wait of a new one, in tokens of reading: a step of a fuller batch is longer. */
const IN_FLIGHT_CALL_TOKENS = 40;
/** The cost of another availability zone, in calls in flight: less than one, so that it only breaks ties. */
const OTHER_ZONE_CALLS = 0.25;

/** Returns the index of the endpoint to use, or -1 where there is none. */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  call: PlacementCall,
  random: () => number,
): number {
  const hasPrompt = call.promptParts.length > 0;
  const preferred = hasPrompt ? findPreferredEndpoint(candidates, call.promptParts) : -1;
  const sharedTokens = getSharedTokens(call.promptParts);
  let best = -1;
  let bestCost = Number.POSITIVE_INFINITY;
  candidates.forEach((candidate, index) => {
    const cost = hasPrompt
      ? candidate.pendingPrefillTokens +
        candidate.inFlight * IN_FLIGHT_CALL_TOKENS +
        (index === preferred ? 0 : sharedTokens)
      : getPlainCost(candidate, call, random);
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  });
  return best;
}

function getPlainCost(
  candidate: PlacementCandidate,
  call: PlacementCall,
  random: () => number,
): number {
  const isOtherZone = candidate.availabilityZone !== call.availabilityZone;
  const calls = candidate.inFlight + (isOtherZone ? OTHER_ZONE_CALLS : 0);
  return calls / candidate.slots + random() * 1e-3;
}

/** The last part belongs to the call itself; the one before it is the longest prefix that others share. */
function findPreferredEndpoint(
  candidates: readonly PlacementCandidate[],
  parts: readonly PromptPart[],
): number {
  const key = (parts.at(-2) ?? parts.at(-1))!.id;
  let preferred = -1;
  let bestScore = -1;
  candidates.forEach(({ id }, index) => {
    const score = getHash32(`${id}\n${key}`);
    if (score > bestScore) {
      preferred = index;
      bestScore = score;
    }
  });
  return preferred;
}

function getSharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}
