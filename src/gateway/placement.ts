/**
 * Chooses the endpoint of a call. Avoids two delays of prompts: endpoints prefill long prompts one after another, which
 * the pending tokens show; and a prompt is prefilled again if its shared parts are cached on another endpoint, which
 * rendezvous hashing of the parts avoids without communication between routers.
 */
import { getHash32 } from '../core/utilities.js';
import type { PromptPart } from '../types/gateway.js';

/** The properties of an endpoint that placement depends on. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Calls of this router in flight on the endpoint. */
  readonly inFlight: number;
  /** Prompt tokens of this router's calls that await their first event. */
  readonly pendingPrefillTokens: number;
}

/** The call to place. */
export interface PlacementCall {
  readonly promptParts: readonly PromptPart[];
  readonly availabilityZone: string;
}

/** Delay that a call in flight adds to a new one, in prefill tokens: a step of a larger batch takes longer. */
const IN_FLIGHT_CALL_TOKENS = 40;
/** Cost of another availability zone, in calls in flight; below one, so that it only breaks ties. */
const OTHER_ZONE_CALLS = 0.25;

/** Returns the index of the chosen endpoint, or -1 if there is none. */
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

/** Hashes the last part but one: the last is the call's own, so the prefix up to there is the longest shared one. */
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
