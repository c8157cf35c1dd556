/**
 * Keeps which vms of each availability zone are out of the load balancer's rotation, so that they do not leave together.
 * Has no input or output. One vm, the coordinator of the zone, keeps it for the zone's vms.
 */
import { getOrCreate } from '../core/utilities.js';
import type { AvailabilityZone, VmId } from '../types/ids.js';

/** The state of one vm: it serves its calls, refuses some or wants to leave the rotation, or is out of the rotation. */
export type RotationState = 'serving' | 'overloaded' | 'out';

/** What the coordinator answers to a report. */
export interface RotationAdvice {
  /** Whether the vm may leave the rotation, or stay out of it. */
  readonly mayLeave: boolean;
  /** Share of the zone's other known vms that are overloaded or out, from 0 to 1. */
  readonly overloadedRatio: number;
}

interface Member {
  readonly state: RotationState;
  readonly reportedAt: number;
}

const OUT_RATIO_MAX = 1 / 3;
const MEMBER_LIFETIME_MS = 25_000; // two reports of a vm that serves its calls may be lost
const OVERLOAD_LIFETIME_MS = 3_000; // such vms report each second

/** The vms of all zones that this vm coordinates. */
export class ZoneRotation {
  private readonly zones = new Map<AvailabilityZone, Map<VmId, Member>>();

  /**
   * Records the state of a vm. A vm that gets permission to leave counts as out from then on, so that two vms that ask at
   * the same time do not both get the last place.
   *
   * @example
   * rotation.report(zone, vm, 'overloaded', timers.now()).mayLeave;
   */
  report(zone: AvailabilityZone, vm: VmId, state: RotationState, nowMs: number): RotationAdvice {
    const members = getOrCreate(this.zones, zone, () => new Map<VmId, Member>());
    members.forEach(({ reportedAt }, member) => {
      if (nowMs - reportedAt > MEMBER_LIFETIME_MS) {
        members.delete(member);
      }
    });
    members.delete(vm);
    const others = [...members.values()];
    const getState = (member: Member) =>
      nowMs - member.reportedAt > OVERLOAD_LIFETIME_MS ? 'serving' : member.state;
    const outCount = others.filter((member) => getState(member) === 'out').length;
    const overloadedCount = others.filter((member) => getState(member) !== 'serving').length;
    const mayLeave = outCount <= (others.length + 1) * OUT_RATIO_MAX;
    const isLeaving = state === 'overloaded' && mayLeave;
    members.set(vm, { state: isLeaving ? 'out' : state, reportedAt: nowMs });
    return {
      mayLeave,
      overloadedRatio: others.length === 0 ? 0 : overloadedCount / others.length,
    };
  }
}
