/**
 * Chooses the gateways that sum up the load of endpoints. All gateways that know the same holders choose the same ones;
 * one that knows fewer chooses others, which costs it a part of the sums and nothing else.
 */
import { getOrderBySize, getRendezvousOrder } from '../../core/utilities.js';
import type { VmId } from '../../types/ids.js';

/** Up to this fleet size a gateway's own calls in flight are a fair sample, and no load is exchanged. */
const SMALL_FLEET_MAX = 9;
/** A report costs its aggregator about 0.75 ms of a core, so five a second of 20 gateways take 8 in 100 of a core. */
const REPORTERS_PER_AGGREGATOR = 20;
/** Each gateway has a standby. */
const AGGREGATORS_MIN = 2;
/** Aggregators exchange their sums in turn, so with more of them the figures of other groups would expire. */
const AGGREGATORS_MAX = 6;

/**
 * Returns the aggregators of a fleet, largest vms first; none for a small fleet.
 *
 * @example
 * chooseAggregators(new Map([[brandId('vm-1'), 0.3]])); // []
 */
export function chooseAggregators(coresByVm: ReadonlyMap<VmId, number>): VmId[] {
  const { size } = coresByVm;
  if (size <= SMALL_FLEET_MAX) {
    return [];
  }
  const order = getOrderBySize('load', coresByVm);
  const count = Math.ceil(size / REPORTERS_PER_AGGREGATOR);
  return order.slice(0, Math.max(AGGREGATORS_MIN, Math.min(AGGREGATORS_MAX, count)));
}

/**
 * Returns the aggregators in the order in which a gateway reports to them: the first, or if that does not answer the next.
 * An aggregator reports to itself.
 *
 * @example
 * getReportOrder(brandId('vm-7'), aggregators)[0]; // the aggregator of vm-7
 */
export function getReportOrder(vm: VmId, aggregators: readonly VmId[]): VmId[] {
  return aggregators.includes(vm) ? [vm] : (getRendezvousOrder(vm, aggregators) as VmId[]);
}
