/**
 * Finds what calls that crash endpoints have in common. A crash breaks off every call of its endpoint, and most of them
 * are harmless. A feature is poisonous if all its calls have crashed endpoints, in several crashes, and if it is
 * very unlikely that harmless calls of the same routes met so many crashes by coincidence.
 */
import { getDecay } from '../core/decayingSum.js';
import type {
  AnswerCounts,
  CrashedCall,
  CrashId,
  Feature,
  PoisonPattern,
} from '../types/poison.js';
import { isCallFeature } from './features.js';

/** Time constants of the answered and crashed calls of a route. */
export const RECENT_TIME_CONSTANT_MS = 10_000;
export const USUAL_TIME_CONSTANT_MS = 600_000;

/** A crashed call as the decision needs it. */
export interface CrashEvidence extends CrashedCall {
  readonly crash: CrashId;
  /** Time of the crash, in milliseconds. */
  readonly at: number;
  /** The answered calls of the route in the whole fleet at that time; `undefined` if they were not collected. */
  readonly answers: AnswerCounts | undefined;
}

/** The inputs of the decision. */
export interface CrashContext {
  readonly evidence: readonly CrashEvidence[];
  /** The features to assess. */
  readonly features: readonly Feature[];
  readonly knownPatterns: readonly PoisonPattern[];
  /** Returns when an endpoint last answered a call with the feature, anywhere in the fleet. */
  readonly getAnsweredAt: (feature: Feature) => number | undefined;
  /** Returns the answered calls of a route, for crashes for which they were not collected. */
  readonly getAnswerCounts: (call: CrashedCall) => AnswerCounts;
}

/** A pattern with the evidence for it. */
export interface Suspicion {
  readonly pattern: PoisonPattern;
  /** The number of crashes; simultaneous ones count once. */
  readonly crashCount: number;
  /** The probability that harmless calls met these crashes by coincidence. */
  readonly coincidence: number;
  /** The pattern is poisonous if the coincidence is at most this. */
  readonly coincidenceMax: number;
}

/** The result of a decision. */
export interface Assessment {
  /** The most specific new pattern for which there is enough evidence. */
  readonly poison: Suspicion | undefined;
  /** The pattern with the most evidence, whether or not there is enough. */
  readonly suspect: Suspicion | undefined;
}

const CRASHES_MIN = 3;
const REPEATED_CRASHES_MIN = 2; // for features of known patterns, which are suspect before their first crash
const COINCIDENCE_MAX = 1e-4;
const ANSWERED_COINCIDENCE_MAX = 1e-7; // what was harmless before is rarely poisonous now
/** Endpoints that crash together have a common cause, such as a power failure, and count once. One call is never at two. */
const SIMULTANEOUS_MS = 100;
/** How many recent calls of a route the usual ones weigh. */
const USUAL_WEIGHT = 10;

/**
 * Assesses the features of crashed calls.
 *
 * @example
 * // Four crashes, each with a call of the parts `system` and `dead`; calls with `system` alone were answered.
 * assessFeatures(context).poison?.pattern.features; // ['part:dead', 'part:system']
 */
export function assessFeatures(context: CrashContext): Assessment {
  const { features, knownPatterns } = context;
  const unexplained = getUnexplainedEvidence(context);
  const suspicions = [...new Set(features)]
    .map((feature) => assessFeature(feature, unexplained, context))
    .filter((suspicion) => suspicion !== undefined)
    .filter(({ pattern }) => !knownPatterns.some((known) => isCovered(pattern, known)));
  const poisons = suspicions.filter(
    ({ coincidence, coincidenceMax }) => coincidence <= coincidenceMax,
  );
  return {
    // The more features a pattern has, the fewer harmless calls have all of them.
    poison: poisons.sort(
      (a, b) =>
        b.pattern.features.length - a.pattern.features.length || b.crashCount - a.crashCount,
    )[0],
    suspect: suspicions.sort(
      (a, b) => a.coincidence / a.coincidenceMax - b.coincidence / b.coincidenceMax,
    )[0],
  };
}

/** Returns whether a call with these features is refused because of a pattern. */
export function isMatch(pattern: PoisonPattern, features: readonly Feature[]): boolean {
  return pattern.features.every((feature) => features.includes(feature));
}

/** Returns whether each call that the pattern refuses is already refused because of another one. */
export function isCovered(pattern: PoisonPattern, known: PoisonPattern): boolean {
  return isMatch(known, pattern.features);
}

/**
 * Returns the evidence without the crashes that a known pattern explains. The repeats of one call explain no crash: the
 * call may have crashed the endpoints because of a part that other calls share.
 */
function getUnexplainedEvidence({ evidence, knownPatterns }: CrashContext): CrashEvidence[] {
  const sharedPatterns = knownPatterns.filter(({ features }) => !features.some(isCallFeature));
  const explained = new Set(
    evidence
      .filter(({ features }) => sharedPatterns.some((pattern) => isMatch(pattern, features)))
      .map(({ crash }) => crash),
  );
  return evidence.filter(({ crash }) => !explained.has(crash));
}

function assessFeature(
  feature: Feature,
  unexplained: readonly CrashEvidence[],
  context: CrashContext,
): Suspicion | undefined {
  const answeredAt = context.getAnsweredAt(feature);
  const calls = unexplained.filter(
    ({ features, at }) =>
      features.includes(feature) && at > (answeredAt ?? Number.NEGATIVE_INFINITY),
  );
  const crashes = groupByCrash(calls, isCallFeature(feature) ? 0 : SIMULTANEOUS_MS);
  const witnesses = removeOutlier(findWitnesses(feature, crashes));
  const isKnown = context.knownPatterns.some(({ features }) => features.includes(feature));
  if (witnesses.length < (isKnown ? REPEATED_CRASHES_MIN : CRASHES_MIN)) {
    return undefined;
  }
  // A feature that all calls of a route share would otherwise leave nothing to compare its crashes with.
  const others = unexplained.filter(
    (call) => !witnesses.some((witness) => witness === call || isRepeat(call, witness)),
  );
  // The first crash is what drew attention to the feature, so only later ones are evidence against it.
  const coincidence = witnesses
    .slice(isKnown ? 0 : 1)
    .reduce((product, call) => product * getCrashChance(call, others, context), 1);
  return {
    pattern: { features: [...getCommonFeatures(witnesses)].sort() },
    crashCount: witnesses.length,
    coincidence,
    coincidenceMax: answeredAt === undefined ? COINCIDENCE_MAX : ANSWERED_COINCIDENCE_MAX,
  };
}

/**
 * Returns one call of each crash, those that have most in common. A call that was repeated counts once as evidence against
 * the parts of its prompt, since its repeats meet crashes for whatever reason it did itself.
 */
function findWitnesses(
  feature: Feature,
  crashes: readonly (readonly CrashEvidence[])[],
): CrashEvidence[] {
  const witnesses: CrashEvidence[] = [];
  let common: readonly Feature[] | undefined;
  crashes.forEach((calls) => {
    const hasRepeat = calls.some((call) => witnesses.some((witness) => isRepeat(call, witness)));
    if (hasRepeat && !isCallFeature(feature)) {
      return;
    }
    const overlaps = calls.map(({ features }) => intersect(common ?? features, features));
    const largest = Math.max(...overlaps.map(({ length }) => length));
    const index = overlaps.findIndex(({ length }) => length === largest);
    common = overlaps[index]!;
    witnesses.push(calls[index]!);
  });
  return witnesses;
}

/**
 * Returns the calls without the one, if any, without which the others have more in common: a harmless call with the same
 * feature may have met one of the crashes by coincidence.
 */
function removeOutlier(witnesses: readonly CrashEvidence[]): readonly CrashEvidence[] {
  if (witnesses.length < CRASHES_MIN) {
    return witnesses;
  }
  const reduced = witnesses.map((_, index) => witnesses.filter((__, other) => other !== index));
  return reduced.reduce(
    (best, rest) => (getCommonFeatures(rest).length > getCommonFeatures(best).length ? rest : best),
    witnesses,
  );
}

function getCommonFeatures(calls: readonly CrashEvidence[]): readonly Feature[] {
  return calls.reduce<readonly Feature[]>(
    (common, { features }) => intersect(common, features),
    calls[0]?.features ?? [],
  );
}

function isRepeat(call: CrashEvidence, other: CrashEvidence): boolean {
  const callFeature = call.features.find(isCallFeature);
  return callFeature !== undefined && other.features.includes(callFeature);
}

/** Returns the calls by crash, in the order of time. Crashes that are closer than a time to the first one are one group. */
function groupByCrash(calls: readonly CrashEvidence[], withinMs: number): CrashEvidence[][] {
  const startedAt = new Map<CrashId, number>();
  calls.forEach(({ crash, at }) =>
    startedAt.set(crash, Math.min(at, startedAt.get(crash) ?? Number.POSITIVE_INFINITY)),
  );
  const groups: { at: number; calls: CrashEvidence[] }[] = [];
  const ordered = [...calls].sort((a, b) => startedAt.get(a.crash)! - startedAt.get(b.crash)!);
  ordered.forEach((call) => {
    const at = startedAt.get(call.crash)!;
    const group = groups.at(-1);
    if (group && (at - group.at < withinMs || call.crash === group.calls[0]!.crash)) {
      group.calls.push(call);
    } else {
      groups.push({ at, calls: [call] });
    }
  });
  return groups.map((group) => group.calls);
}

/**
 * Returns the probability that a harmless call of the same route met a crash before it was answered: the fraction of such
 * calls among the others, recently or usually, whichever is higher.
 */
function getCrashChance(
  call: CrashEvidence,
  others: readonly CrashEvidence[],
  { getAnswerCounts }: CrashContext,
): number {
  const answered = call.answers ?? getAnswerCounts(call);
  const sameRoute = others.filter(({ route, at }) => route === call.route && at <= call.at);
  const countCrashed = (timeConstantMs: number) =>
    sameRoute.reduce((count, { at }) => count + getDecay(call.at - at, timeConstantMs), 0);
  const recentCrashed = countCrashed(RECENT_TIME_CONSTANT_MS);
  const usualCrashed = countCrashed(USUAL_TIME_CONSTANT_MS);
  const usualFraction = (usualCrashed + 0.5) / (usualCrashed + answered.usual + 1);
  const recentFraction =
    (recentCrashed + USUAL_WEIGHT * usualFraction) /
    (recentCrashed + answered.recent + USUAL_WEIGHT);
  return Math.max(usualFraction, recentFraction);
}

function intersect(a: readonly Feature[], b: readonly Feature[]): Feature[] {
  return a.filter((feature) => b.includes(feature));
}
