/** Places a call by the load of the whole fleet. */
import type { EndpointInstance } from '../endpointInstance.js';
import type { GatewayCall } from '../call.js';
import { chooseByTime, type TimedCandidate, type TimedPlacement } from '../placement.js';
import { isPlaceLeft, type AdmissionInputs } from './admission.js';
import type { FleetLoad } from './fleetLoad.js';
import type { CallLoad } from './ownLoad.js';

/** What a placement depends on beside the call. */
export interface FleetPlacementOptions {
  readonly endpoints: readonly EndpointInstance[];
  readonly fleet: FleetLoad;
  readonly availabilityZone: string;
  /** In [0, 1). */
  readonly random: () => number;
  readonly nowMs: number;
}

/** A placement with the load that the call puts on its endpoint, and what its admission depends on. */
export interface FleetPlacement extends TimedPlacement {
  readonly load: CallLoad;
  readonly admissionInputs: AdmissionInputs;
}

/** Slots in use from which on a call may have waited for one, so that its time says little about the endpoint's speed. */
const SPEED_SAMPLE_OCCUPANCY_MAX = 0.75;
/** The rest of the memory is for calls that other gateways send before the next figures. */
export const USABLE_MEMORY_PART = 0.9;

/**
 * Chooses one of the endpoints for a call.
 *
 * @example
 * const { index, load } = placeByFleet(call, { endpoints, fleet, availabilityZone, random, nowMs });
 */
export function placeByFleet(call: GatewayCall, options: FleetPlacementOptions): FleetPlacement {
  const { endpoints, fleet, availabilityZone, random, nowMs } = options;
  const { metadata, route, activeConfig, service, arrivedAt, deadline, workspace } = call;
  const config = activeConfig.config.services.find(({ name }) => name === service);
  const { prompt: promptTokens = 0, maxOutput = 0 } = metadata.tokens ?? {};
  const memoryTokens = promptTokens + (metadata.expectedOutputTokens ?? maxOutput);
  const statedCapacity = config?.engine?.cacheTokens ?? 0;
  // A call larger than the stated memory fits nowhere by that figure, and is left to the endpoints.
  const isFitting = statedCapacity * USABLE_MEMORY_PART >= memoryTokens;
  const capacityTokens = isFitting ? statedCapacity : Number.POSITIVE_INFINITY;
  const candidates = endpoints.map(({ entry }): TimedCandidate => {
    const { id, slots } = entry;
    const load = fleet.getLoad(id, service, nowMs);
    return {
      id,
      availabilityZone: entry.availabilityZone,
      slots,
      calls: load.calls,
      prefillTokens: load.prefillTokens,
      msPerToken: load.msPerToken,
      freeMemoryTokens: capacityTokens * USABLE_MEMORY_PART - load.memoryTokens,
    };
  });
  const placement = chooseByTime(
    candidates,
    {
      promptParts: metadata.promptParts,
      availabilityZone,
      promptTokens,
      memoryTokens,
      targetMs: Math.max(0, route.latencyTargetMs - (nowMs - arrivedAt)),
    },
    random,
  );
  const { prefillTokens } = placement;
  const chosen = candidates[placement.index];
  const isSpeedSample =
    chosen !== undefined && chosen.calls < chosen.slots * SPEED_SAMPLE_OCCUPANCY_MAX;
  const tokensUntilFirstEvent = isSpeedSample ? chosen.prefillTokens + prefillTokens : 0;
  const timeLeftMs = deadline - nowMs;
  const admissionInputs: AdmissionInputs = {
    hasMemory: placement.index >= 0,
    hasPlace: isPlaceLeft(candidates),
    firstEventMs: placement.firstEventMs,
    waitMs: placement.waitMs,
    timeLeftMs,
    waitedMs: Math.max(0, route.timeoutMs - timeLeftMs),
    targetMs: route.latencyTargetMs,
    rank: workspace?.rank ?? route.rank,
    usageRatio: 1,
  };
  const load = { prefillTokens, memoryTokens, tokensUntilFirstEvent };
  return { ...placement, load, admissionInputs };
}
