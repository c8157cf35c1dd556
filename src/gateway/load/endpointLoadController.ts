/** Reports this gateway's load on endpoints to an aggregator, receives that of the others, and sums up as an aggregator. */
import type { Logger } from '../../core/logging.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage } from '../../core/utilities.js';
import type { Incarnation, ServiceName, VmId } from '../../types/ids.js';
import type { LoadReport, LoadSums, PeerClient } from '../../types/peers.js';
import { chooseAggregators, getReportOrder } from './aggregators.js';
import { FleetLoad } from './fleetLoad.js';
import { LoadAggregate } from './loadAggregate.js';
import { OwnLoad } from './ownLoad.js';

/** Options of the controller. */
export interface EndpointLoadControllerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly vm: VmId;
  readonly run: Incarnation;
  /** Returns the processor cores of all gateways, this one included; 0 for unknown. */
  readonly getCores: () => ReadonlyMap<VmId, number>;
  /** Returns the service of an endpoint, or `undefined` if it is not listed. */
  readonly getService: (endpoint: VmId) => ServiceName | undefined;
  /** In [0, 1). */
  readonly random: () => number;
}

/** A report costs its sender about 0.75 ms of a core: 1 in 100 of a vm of 0.324 cores. */
const REPORT_INTERVAL_MS = 200;
/** A gateway without calls reports often enough that its figures and its view don't expire. */
const IDLE_REPORT_TICKS = 5;
const REPORT_TIMEOUT_MS = 150;
/** An aggregator that did not answer is asked again after this time. */
const FAILED_AGGREGATOR_MS = 3_000;
/** The list of the fleet changes seldom, and ranking it takes time. */
const AGGREGATORS_LIFETIME_MS = 2_000;

/** The exchange of the load between gateways. */
export class EndpointLoadController {
  readonly own = new OwnLoad();

  readonly fleet: FleetLoad;

  private readonly aggregate = new LoadAggregate();

  private readonly failedUntil = new Map<VmId, number>();

  private aggregators: readonly VmId[] = [];

  private fleetSize = 1;

  private rankedAt = Number.NEGATIVE_INFINITY;

  private sequence = 0;

  private tickCount = 0;

  private lastBusyTick = 0;

  private isReportPending = false;

  private cancelTick: Unsubscribe = () => {};

  constructor(private readonly options: EndpointLoadControllerOptions) {
    const { getService } = options;
    this.fleet = new FleetLoad({ own: this.own, getService, getFleetSize: () => this.fleetSize });
  }

  /** Starts to report, at a random time within the interval so that the reports of a fleet are spread. */
  start(): void {
    const { timers, random } = this.options;
    this.cancelTick = timers.subscribe(random() * REPORT_INTERVAL_MS, () => {
      this.cancelTick = timers.subscribeEvery(REPORT_INTERVAL_MS, () => this.tick());
    });
  }

  stop(): void {
    this.cancelTick();
  }

  /** Returns whether the load of the whole fleet is known. */
  isUsable(): boolean {
    return this.fleet.isUsable(this.options.timers.now());
  }

  /** Applies the report of a peer and returns what it needs: the load of all others, or of this gateway's group. */
  exchange(report: LoadReport): LoadReport {
    const now = this.options.timers.now();
    this.aggregate.apply(report, now);
    return report.kind === 'gateway'
      ? this.createReport('others', this.aggregate.getOthers(report.vm, now))
      : this.createReport('group', this.aggregate.getGroup(now));
  }

  private tick(): void {
    this.tickCount += 1;
    this.updateAggregators();
    if (this.aggregators.length === 0) {
      return;
    }
    this.report();
    this.exchangeWithGroup();
  }

  private updateAggregators(): void {
    const { timers, getCores } = this.options;
    const now = timers.now();
    if (now - this.rankedAt >= AGGREGATORS_LIFETIME_MS) {
      const cores = getCores();
      this.rankedAt = now;
      this.fleetSize = cores.size;
      this.aggregators = chooseAggregators(cores);
    }
  }

  private report(): void {
    const { timers, vm } = this.options;
    const now = timers.now();
    this.lastBusyTick = this.own.getCallCount() > 0 ? this.tickCount : this.lastBusyTick;
    const isDue =
      this.tickCount - this.lastBusyTick <= 1 ||
      this.tickCount % IDLE_REPORT_TICKS === 0 ||
      !this.fleet.isUsable(now);
    const target = getReportOrder(vm, this.aggregators).find((each) => !this.isFailed(each));
    if (!isDue || this.isReportPending || target === undefined) {
      return;
    }
    const load = { rows: this.own.takeRows(), gateways: 1, ageMs: 0 };
    const report = this.createReport('gateway', load);
    if (target === vm) {
      this.fleet.apply(this.exchange(report), now);
      return;
    }
    this.isReportPending = true;
    this.send(target, report, (response) => this.fleet.apply(response, timers.now()));
  }

  /** Passes the sums of the gateways that report here on to one other aggregator after the other. */
  private exchangeWithGroup(): void {
    const { timers, vm } = this.options;
    const now = timers.now();
    const others = this.aggregators.filter((each) => each !== vm && !this.isFailed(each));
    const peer = others[this.tickCount % Math.max(1, others.length)];
    if (peer === undefined || !this.aggregate.hasReports(now)) {
      return;
    }
    const report = this.createReport('group', this.aggregate.getGroup(now));
    this.send(peer, report, (response) => this.aggregate.apply(response, timers.now()));
  }

  private send(peer: VmId, report: LoadReport, onResponse: (response: LoadReport) => void): void {
    const { client, logger, timers } = this.options;
    client
      .call(peer, 'gateway.load', report, REPORT_TIMEOUT_MS)
      .then(onResponse)
      .catch((error: unknown) => {
        this.failedUntil.set(peer, timers.now() + FAILED_AGGREGATOR_MS);
        logger.debug('load not exchanged with peer', { peer, detail: getErrorMessage(error) });
      })
      .finally(() => {
        this.isReportPending &&= report.kind !== 'gateway';
      });
  }

  private isFailed(peer: VmId): boolean {
    return (this.failedUntil.get(peer) ?? 0) > this.options.timers.now();
  }

  private createReport(kind: LoadReport['kind'], load: LoadSums): LoadReport {
    const { vm, run } = this.options;
    this.sequence += 1;
    return { kind, vm, run, sequence: this.sequence, load };
  }
}
