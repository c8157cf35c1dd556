/**
 * Chooses the endpoint of a call. Avoids two delays of prompts: endpoints prefill long prompts one after another, which
 * the pending tokens show; and a prompt is prefilled again if its shared parts are cached on another endpoint, which
 * rendezvous hashing of the parts avoids without communication between routers. `chooseByTime` decides from the load by
 * the whole fleet, `choosePlacement` from this gateway's calls if that is not known.
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

/** The properties of an endpoint that the time to the first event depends on. Its load is that of the whole fleet. */
export interface TimedCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly calls: number;
  /** Prompt tokens that await prefill. */
  readonly prefillTokens: number;
  readonly msPerToken: number;
  /** Tokens for which the endpoint has memory left; infinite if unknown. */
  readonly freeMemoryTokens: number;
}

/** The call to place by time. */
export interface TimedCall extends PlacementCall {
  readonly promptTokens: number;
  /** Tokens of the prompt and of the expected output. */
  readonly memoryTokens: number;
  /** Time within which the first event has its full value, in milliseconds; 0 if there is no target. */
  readonly targetMs: number;
}

/** Options of the placement by time; the defaults are those of a replay of the load of 78 gateways. */
export interface TimedPlacementOptions {
  /** Mean time that a call occupies a slot, in milliseconds. Default 1,500. */
  readonly slotMs?: number;
  /** How many random endpoints are compared, beside those that may have cached the prompt. Default 3. */
  readonly sampleCount?: number;
  /** Endpoints within this time of the best one are chosen at random, in milliseconds. Default 10. */
  readonly toleranceMs?: number;
  /** Cost of a shared token that is read again, in tokens, beside the time that it takes itself. Default 32. */
  readonly rereadWeight?: number;
  /** How many endpoints in the rendezvous order are expected to have cached a shared part. Default 3. */
  readonly choiceCount?: number;
  /** Cost of the last free slot of an endpoint, in milliseconds. Default 200. */
  readonly slotCostMs?: number;
}

/** The chosen endpoint. */
export interface TimedPlacement {
  /** Index of the endpoint, or -1 if there is none. */
  readonly index: number;
  /** Expected time until the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** The shortest wait before the call's own prefill at any of the compared endpoints, in milliseconds. */
  readonly waitMs: number;
  /** Prompt tokens that are probably not cached there. */
  readonly prefillTokens: number;
}

const NO_PLACEMENT: TimedPlacement = {
  index: -1,
  firstEventMs: Number.POSITIVE_INFINITY,
  waitMs: Number.POSITIVE_INFINITY,
  prefillTokens: 0,
};
/** The first choice has read a shared part before; each next one does when those before it are busy. */
const NEXT_CHOICE_CACHED = 0.5;
/** Delay that a call in progress adds to a new one, in milliseconds: a step of a larger batch takes longer. */
const CALL_DELAY_MS = 0.4;
/** From this fraction of the target on, a later first event costs more than tokens that are read again. */
const LATE_FRACTION = 0.9;
const LATE_WEIGHT = 1;
/** More endpoints are compared if none of the first sample is in time. */
const WIDE_SAMPLE_FACTOR = 4;
/** Slots cost little while many are free, so that calls stay where their parts are cached. */
const OCCUPANCY_POWER = 4;

/**
 * Returns the endpoint with the least expected cost of a call with a prompt. Compares only a few random endpoints beside
 * those that may have cached the prompt: if all gateways compared all endpoints, they would send to the same ones until
 * their next figures.
 *
 * @example
 * const { index } = chooseByTime(candidates, call, Math.random);
 */
export function chooseByTime(
  candidates: readonly TimedCandidate[],
  call: TimedCall,
  random: () => number,
  options: TimedPlacementOptions = {},
): TimedPlacement {
  const { sampleCount = 3 } = options;
  const sharedTokens = Math.min(call.promptTokens, getSharedTokens(call.promptParts));
  const choices =
    sharedTokens > 0 ? findChoices(candidates, call.promptParts, options.choiceCount ?? 3) : [];
  const inputs = { candidates, call, random, options, choices };
  const sample = [...choices, ...getSample(candidates.length, sampleCount, random)];
  const placement = chooseAmong(sample, inputs);
  if (placement.index >= 0 && !isLate(placement.firstEventMs, call.targetMs)) {
    return placement;
  }
  const wide = getSample(candidates.length, sampleCount * WIDE_SAMPLE_FACTOR, random);
  const widePlacement = chooseAmong([...sample, ...wide], inputs);
  // Memory may be left at one endpoint only.
  return widePlacement.index >= 0
    ? widePlacement
    : chooseAmong(
        candidates.map((_, index) => index),
        inputs,
      );
}

/** Returns random indexes, which may be equal. */
function getSample(size: number, count: number, random: () => number): number[] {
  return Array.from({ length: Math.min(size, count) }, () => Math.floor(random() * size));
}

interface PlacementInputs {
  readonly candidates: readonly TimedCandidate[];
  readonly call: TimedCall;
  readonly random: () => number;
  readonly options: TimedPlacementOptions;
  /** The endpoints that may have cached the shared parts, the most probable one first. */
  readonly choices: readonly number[];
}

/** Returns the best of some candidates; one without memory for the call only if none has it. */
function chooseAmong(indexes: readonly number[], inputs: PlacementInputs): TimedPlacement {
  const { candidates, call, random, options, choices } = inputs;
  const { slotMs = 1_500, toleranceMs = 10, rereadWeight = 32, slotCostMs = 200 } = options;
  const sharedTokens = Math.min(call.promptTokens, getSharedTokens(call.promptParts));
  let best = NO_PLACEMENT;
  let bestCost = Number.POSITIVE_INFINITY;
  let waitMs = Number.POSITIVE_INFINITY;
  indexes.forEach((index) => {
    const candidate = candidates[index]!;
    if (candidate.freeMemoryTokens < call.memoryTokens) {
      return;
    }
    const readTokens = getReadTokens(index, sharedTokens, choices);
    const prefillTokens = call.promptTokens - sharedTokens + readTokens;
    const firstEventMs = getFirstEventMs(candidate, prefillTokens, slotMs);
    waitMs = Math.min(waitMs, firstEventMs - prefillTokens * candidate.msPerToken);
    const lateMs =
      call.targetMs > 0 ? Math.max(0, firstEventMs - call.targetMs * LATE_FRACTION) : 0;
    const cost =
      firstEventMs +
      readTokens * candidate.msPerToken * rereadWeight +
      lateMs * LATE_WEIGHT +
      Math.min(1, candidate.calls / candidate.slots) ** OCCUPANCY_POWER * slotCostMs +
      random() * toleranceMs;
    if (cost < bestCost) {
      bestCost = cost;
      best = { index, firstEventMs, waitMs, prefillTokens };
    }
  });
  return { ...best, waitMs };
}

function isLate(firstEventMs: number, targetMs: number): boolean {
  return targetMs > 0 && firstEventMs > targetMs * LATE_FRACTION;
}

/**
 * Returns the expected time until the first event of a call, in milliseconds.
 *
 * @example
 * getFirstEventMs(idleCandidate, 12_000, 1_500); // 120 at 0.01 ms a token
 */
export function getFirstEventMs(
  { calls, slots, prefillTokens, msPerToken }: TimedCandidate,
  ownPrefillTokens: number,
  slotMs: number,
): number {
  const waitingCalls = Math.max(0, calls + 1 - slots);
  return (
    (prefillTokens + ownPrefillTokens) * msPerToken +
    calls * CALL_DELAY_MS +
    (waitingCalls * slotMs) / slots
  );
}

/** Returns the shared tokens that an endpoint probably has not cached. */
function getReadTokens(index: number, sharedTokens: number, choices: readonly number[]): number {
  const position = choices.indexOf(index);
  return position < 0 ? sharedTokens : sharedTokens * (1 - NEXT_CHOICE_CACHED ** position);
}

/** Returns the first endpoints in the rendezvous order for the longest shared prefix. */
function findChoices(
  candidates: readonly { readonly id: string }[],
  parts: readonly PromptPart[],
  count: number,
): number[] {
  const key = (parts.at(-2) ?? parts.at(-1))!.id;
  const choices: number[] = [];
  const scores: number[] = [];
  candidates.forEach(({ id }, index) => {
    const score = getHash32(`${id}\n${key}`);
    const isFull = choices.length >= count;
    if (isFull && score <= scores[count - 1]!) {
      return;
    }
    let position = choices.length - (isFull ? 1 : 0);
    for (; position > 0 && scores[position - 1]! < score; position -= 1) {
      scores[position] = scores[position - 1]!;
      choices[position] = choices[position - 1]!;
    }
    scores[position] = score;
    choices[position] = index;
  });
  return choices;
}
