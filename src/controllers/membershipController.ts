/**
 * Tracks which routers are probably alive, from the vm list and from probes of a few random peers. The
 * view serves only as a hint: a wrong view costs time but violates no guarantee.
 */
import { minimatch } from 'minimatch';
import type { AvailabilityZone, VmId } from '../types/ids.js';
import type { Vm } from '../types/platform.js';
import type { PeerClient, ProbeMessage } from '../types/peers.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getRendezvousOrder } from '../core/utilities.js';

/** Options of the membership controller. Times are in milliseconds. */
export interface MembershipControllerOptions {
  readonly timers: TimerService;
  readonly vm: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly vmPattern: string;
  readonly client: PeerClient;
  /** Returns the message that this router sends with its probes. */
  readonly createProbe: () => ProbeMessage;
  /** Handles the message in a peer's response. */
  readonly onProbe: (message: ProbeMessage) => void;
  /** A number in [0, 1); defaults to `Math.random`. */
  readonly random?: () => number;
  /** Interval between rounds of probes. Default 1,000. */
  readonly probeIntervalMs?: number;
  /** Number of peers probed per round. Default 3. */
  readonly probeCount?: number;
}

interface Member {
  readonly vm: Vm;
  consecutiveFailures: number;
}

/** Number of consecutive failed probes after which a member counts as suspect. */
const SUSPECT_FAILURE_COUNT = 2;

/** The other routers of the fleet. */
export class MembershipController {
  private members = new Map<VmId, Member>();

  /** Cached results of `getZoneOrder` by key; cleared when the members or their health change. */
  private readonly zoneOrders = new Map<string, VmId[]>();

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: MembershipControllerOptions) {}

  /** Starts probing. */
  start(): void {
    const { timers, probeIntervalMs = 1_000 } = this.options;
    this.unsubscribe = timers.subscribeEvery(probeIntervalMs, () => {
      this.probeRandomPeers().catch(() => {});
    });
  }

  /** Stops probing. */
  stop(): void {
    this.unsubscribe();
  }

  /** Applies a new vm list. */
  setVms(vms: readonly Vm[]): void {
    const { vm: self, vmPattern } = this.options;
    const members = new Map<VmId, Member>();
    vms
      .filter(({ vm, state }) => vm !== self && state === 'live' && minimatch(vm, vmPattern))
      .forEach((vm) => {
        members.set(vm.vm, {
          vm,
          consecutiveFailures: this.members.get(vm.vm)?.consecutiveFailures ?? 0,
        });
      });
    this.members = members;
    this.zoneOrders.clear();
  }

  /** Returns the address of a peer as `HOST:PORT`. */
  getAddress(peer: VmId): string | undefined {
    const vm = this.members.get(peer)?.vm;
    return vm && `${vm.host}:${vm.port}`;
  }

  /** Returns the peers that are not suspect, those in this router's availability zone first. */
  getPeers(): VmId[] {
    const { availabilityZone } = this.options;
    const alive = [...this.members.values()].filter(
      ({ consecutiveFailures }) => consecutiveFailures < SUSPECT_FAILURE_COUNT,
    );
    const isInSameZone = ({ vm }: Member) => vm.availabilityZone === availabilityZone;
    const sameZone = alive.filter(isInSameZone);
    const otherZones = alive.filter((member) => !isInSameZone(member));
    return [...sameZone, ...otherZones].map(({ vm }) => vm.vm);
  }

  /** Returns every listed peer, suspect or not. */
  getListedPeers(): VmId[] {
    return [...this.members.keys()];
  }

  /** Returns this router's rank in the rendezvous order of a key, from 0. */
  getRank(key: string): number {
    const { vm } = this.options;
    return getRendezvousOrder(key, [vm, ...this.getPeers()]).indexOf(vm);
  }

  /** Returns the routers in this router's availability zone in the rendezvous order of a key. */
  getZoneOrder(key: string): VmId[] {
    const cachedOrder = this.zoneOrders.get(key);
    if (cachedOrder) {
      return cachedOrder;
    }
    const { vm, availabilityZone } = this.options;
    const sameZone = [...this.members.values()]
      .filter(({ consecutiveFailures }) => consecutiveFailures < SUSPECT_FAILURE_COUNT)
      .filter((member) => member.vm.availabilityZone === availabilityZone)
      .map((member) => member.vm.vm);
    const order = getRendezvousOrder(key, [vm, ...sameZone]) as VmId[];
    this.zoneOrders.set(key, order);
    return order;
  }

  /** Probes one peer at once. */
  async probe(peer: VmId): Promise<void> {
    const { client, createProbe, onProbe } = this.options;
    const member = this.members.get(peer);
    try {
      const response = await client.call(peer, 'peer.probe', createProbe());
      this.setConsecutiveFailures(member, 0);
      onProbe(response);
    } catch {
      this.setConsecutiveFailures(member, (member?.consecutiveFailures ?? 0) + 1);
    }
  }

  private setConsecutiveFailures(member: Member | undefined, failures: number): void {
    if (member && member.consecutiveFailures !== failures) {
      member.consecutiveFailures = failures;
      this.zoneOrders.clear();
    }
  }

  private async probeRandomPeers(): Promise<void> {
    const { probeCount = 3, random = Math.random } = this.options;
    const candidates = this.getListedPeers();
    const chosen: VmId[] = [];
    while (chosen.length < probeCount && candidates.length > 0) {
      const index = Math.floor(random() * candidates.length);
      chosen.push(...candidates.splice(index, 1));
    }
    await Promise.all(chosen.map((peer) => this.probe(peer)));
  }
}
