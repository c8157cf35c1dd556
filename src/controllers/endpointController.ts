/** Keeps the endpoints of each service and assigns slots on them. */
import { minimatch } from 'minimatch';
import type { ServiceName, VmId } from '../types/ids.js';
import type { EndpointInfo } from '../types/endpoints.js';
import type { Vm } from '../types/platform.js';
import type { EndpointRule } from '../types/rules.js';
import type { TimerService } from '../core/timers.js';
import { getOrCreate, getRendezvousOrder } from '../core/utilities.js';
import { Endpoint } from '../routing/endpoint.js';
import { PrefixAffinity, type Picker } from '../routing/picker.js';
import type { SuspectController } from './suspectController.js';

/** Options of the endpoint controller. */
export interface EndpointControllerOptions {
  readonly timers: TimerService;
  readonly vm: VmId;
  readonly suspects: SuspectController;
  readonly picker?: Picker;
  /** Maximum number of endpoints of one service that this router uses. Default 64. */
  readonly subsetSize?: number;
  /** Called when slots may have become available. */
  readonly onCapacityChange?: () => void;
}

/** The properties of a request that decide on its endpoint. */
export interface SlotRequest {
  readonly service: ServiceName;
  readonly prefix: string;
  readonly digest: string;
  /** Endpoints that this request has already tried. */
  readonly tried: ReadonlySet<VmId>;
}

/** The outcome of a call as it counts for the health of the endpoint. */
export type SlotOutcome =
  /** `latencyMs` is the time to the first token. */
  | { readonly kind: 'success'; readonly latencyMs: number }
  | { readonly kind: 'failure' }
  /** The connection broke: the endpoint may have crashed on one of the requests in flight. */
  | { readonly kind: 'death' }
  | { readonly kind: 'rejection' }
  | { readonly kind: 'neutral' };

/** Capacity of an endpoint reserved for one call. */
export interface Slot {
  readonly endpoint: Endpoint;
  /** Releases the slot; later calls have no effect. */
  readonly release: (outcome: SlotOutcome) => void;
}

/** How long a report from an endpoint or a peer that an endpoint is leaving stays valid. */
const LEAVING_REPORT_TTL_MS = 600_000;

/** The endpoints of one router. */
export class EndpointController {
  private readonly services = new Map<ServiceName, Map<VmId, Endpoint>>();

  private vms: readonly Vm[] = [];

  private rules: readonly EndpointRule[] = [];

  private readonly leavingReportTimes = new Map<VmId, number>();

  private readonly picker: Picker;

  constructor(private readonly options: EndpointControllerOptions) {
    this.picker = options.picker ?? new PrefixAffinity();
  }

  /** Applies a new vm list. */
  setVms(vms: readonly Vm[]): void {
    this.vms = vms;
    this.rebuild();
  }

  /** Applies new endpoint rules. */
  setRules(rules: readonly EndpointRule[]): void {
    this.rules = rules;
    this.rebuild();
  }

  /** Records a report that an endpoint is leaving, from the endpoint itself or from a peer. */
  markLeaving(vm: VmId): void {
    this.leavingReportTimes.set(vm, this.options.timers.now());
    this.services.forEach((endpoints) => {
      const endpoint = endpoints.get(vm);
      if (endpoint) {
        endpoint.isLeaving = true;
      }
    });
  }

  /** Returns the endpoints reported as leaving by an endpoint or a peer; the vm list does not count. */
  getLeaving(): VmId[] {
    const { timers } = this.options;
    this.leavingReportTimes.forEach((reportedAt, vm) => {
      if (timers.now() - reportedAt > LEAVING_REPORT_TTL_MS) {
        this.leavingReportTimes.delete(vm);
      }
    });
    return [...this.leavingReportTimes.keys()];
  }

  /** Returns whether the service has an endpoint that is not leaving. */
  hasEndpoints(service: ServiceName): boolean {
    return this.getActiveEndpoints(service).length > 0;
  }

  /** Returns the number of requests that the service can run concurrently. */
  getCapacity(service: ServiceName): number {
    return this.getActiveEndpoints(service).reduce(
      (sum, endpoint) => sum + endpoint.limit.get(),
      0,
    );
  }

  /** Returns the endpoints of a service, including those that are leaving. */
  getEndpoints(service: ServiceName): Endpoint[] {
    return [...(this.services.get(service)?.values() ?? [])];
  }

  /** Acquires a slot on the endpoint chosen by the picker, or returns `undefined` if none is available. */
  tryAcquire(request: SlotRequest): Slot | undefined {
    const { timers, suspects } = this.options;
    const nowMs = timers.now();
    const isSuspect = suspects.isSuspect(request.digest);
    const candidates = this.getEndpoints(request.service).filter(
      (endpoint) =>
        endpoint.hasCapacity(nowMs) &&
        !request.tried.has(endpoint.info.vm) &&
        !(isSuspect && endpoint.suspectDigests.size > 0),
    );
    const endpoint = this.picker.pick(candidates, request);
    if (!endpoint || !endpoint.breaker.tryEnter(nowMs)) {
      return undefined;
    }
    return this.createSlot(endpoint, request.digest, isSuspect);
  }

  private createSlot(endpoint: Endpoint, digest: string, isSuspect: boolean): Slot {
    const { inFlightDigests, suspectDigests } = endpoint;
    endpoint.inFlight += 1;
    inFlightDigests.set(digest, (inFlightDigests.get(digest) ?? 0) + 1);
    if (isSuspect) {
      suspectDigests.add(digest);
    }
    const crashCountBefore = endpoint.crashCount;
    let isOpen = true;
    const release = (outcome: SlotOutcome) => {
      if (isOpen) {
        isOpen = false;
        const isCounted = outcome.kind === 'death' && endpoint.crashCount > crashCountBefore;
        this.recordOutcome(endpoint, isCounted ? { kind: 'neutral' } : outcome);
        this.removeInFlight(endpoint, digest);
        this.options.onCapacityChange?.();
      }
    };
    return { endpoint, release };
  }

  private removeInFlight(endpoint: Endpoint, digest: string): void {
    const remaining = (endpoint.inFlightDigests.get(digest) ?? 1) - 1;
    endpoint.inFlight -= 1;
    if (remaining > 0) {
      endpoint.inFlightDigests.set(digest, remaining);
    } else {
      endpoint.inFlightDigests.delete(digest);
      endpoint.suspectDigests.delete(digest);
    }
  }

  private recordOutcome(endpoint: Endpoint, outcome: SlotOutcome): void {
    const nowMs = this.options.timers.now();
    switch (outcome.kind) {
      case 'success':
        endpoint.breaker.record(true, nowMs);
        endpoint.limit.recordLatency(outcome.latencyMs, nowMs);
        break;
      case 'death':
        this.recordCrash(endpoint, nowMs);
        break;
      case 'failure':
        endpoint.breaker.record(false, nowMs);
        break;
      case 'rejection':
        endpoint.limit.recordRejection(nowMs);
        endpoint.breaker.recordNeutral();
        break;
      case 'neutral':
        endpoint.breaker.recordNeutral();
        break;
      default:
    }
  }

  /** Counts a crash of the endpoint and reports the request bodies in flight on it as possible causes. */
  private recordCrash(endpoint: Endpoint, nowMs: number): void {
    endpoint.crashCount += 1;
    endpoint.breaker.record(false, nowMs);
    this.options.suspects.recordCrash(endpoint.inFlightDigests.keys());
  }

  private getActiveEndpoints(service: ServiceName): Endpoint[] {
    return this.getEndpoints(service).filter(({ isLeaving }) => !isLeaving);
  }

  private rebuild(): void {
    const services = new Set(this.rules.map(({ service }) => service));
    services.forEach((service) => this.rebuildService(service));
    [...this.services.keys()]
      .filter((service) => !services.has(service))
      .forEach((service) => this.services.delete(service));
    this.options.onCapacityChange?.();
  }

  private rebuildService(service: ServiceName): void {
    const endpoints = getOrCreate(this.services, service, () => new Map<VmId, Endpoint>());
    const infos = this.getSubset(this.createInfos(service));
    const listed = new Map(infos.map((info) => [info.vm, info]));
    endpoints.forEach((endpoint, vm) => {
      if (listed.get(vm)?.url !== endpoint.info.url) {
        endpoints.delete(vm);
      }
    });
    infos.forEach((info) => {
      const endpoint = getOrCreate(endpoints, info.vm, () => new Endpoint(info));
      endpoint.isLeaving = this.isLeaving(info.vm);
    });
  }

  private isLeaving(vm: VmId): boolean {
    const listed = this.vms.find((candidate) => candidate.vm === vm);
    return listed?.state !== 'live' || this.leavingReportTimes.has(vm);
  }

  private createInfos(service: ServiceName): EndpointInfo[] {
    const rules = this.rules.filter((rule) => rule.service === service);
    return this.vms.flatMap((vm) => {
      const rule = rules.find(({ name }) => minimatch(vm.vm, name));
      return rule ? [createInfo(vm, rule)] : [];
    });
  }

  /** Limits each router to a stable subset, so that connections don't grow as routers x endpoints. */
  private getSubset(infos: EndpointInfo[]): EndpointInfo[] {
    const { subsetSize = 64, vm } = this.options;
    if (infos.length <= subsetSize) {
      return infos;
    }
    const byVm = new Map(infos.map((info) => [info.vm as string, info]));
    const order = getRendezvousOrder(vm, [...byVm.keys()]);
    return order.slice(0, subsetSize).map((name) => byVm.get(name)!);
  }
}

function createInfo(vm: Vm, rule: EndpointRule): EndpointInfo {
  return {
    vm: vm.vm,
    url: `http://${vm.host}:${vm.port}`,
    service: rule.service,
    availabilityZone: vm.availabilityZone,
    slots: rule.slots,
    fencing: rule.fencing,
  };
}
