/** The state of an aggregator: the newest report of each gateway of its group, and the newest sums of the other groups. */
import { LRUCache } from 'lru-cache';
import type { Incarnation, VmId } from '../../types/ids.js';
import type { LoadReport, LoadRow, LoadSums } from '../../types/peers.js';
import { getValidRows, LoadSum, mergeRows } from './loadSum.js';

/** A report with the time of its receipt. */
interface KeptReport {
  readonly run: Incarnation;
  readonly sequence: number;
  readonly rows: readonly LoadRow[];
  readonly gateways: number;
  /** When the figures were current, in milliseconds. */
  readonly asOf: number;
  readonly receivedAt: number;
}

/** A gateway that reports every second is counted although one of its reports is lost in part of the cases. */
export const FIGURE_LIFETIME_MS = 1_500;
/** More than processes end while messages of theirs are on the way. */
const ENDED_RUNS_MAX = 500;

/**
 * Sums up reports. Has no input or output and no clock.
 *
 * @example
 * aggregate.apply(report, nowMs);
 * aggregate.getOthers(report.vm, nowMs).rows; // what the other gateways have in flight
 */
export class LoadAggregate {
  private readonly gateways = new Map<VmId, KeptReport>();

  private readonly groups = new Map<VmId, KeptReport>();

  private readonly sum = new LoadSum();

  /** Runs that a later one of their gateway has replaced. */
  private readonly endedRuns = new LRUCache<Incarnation, true>({ max: ENDED_RUNS_MAX });

  /** Applies a report of a gateway or of another group, unless a newer one is known. Returns whether it was applied. */
  apply({ kind, vm, run, sequence, load }: LoadReport, nowMs: number): boolean {
    const reports = kind === 'gateway' ? this.gateways : this.groups;
    const known = reports.get(vm);
    if (this.endedRuns.has(run) || (known?.run === run && sequence <= known.sequence)) {
      return false;
    }
    if (known && known.run !== run) {
      this.endedRuns.set(known.run, true);
    }
    const rows = getValidRows(load.rows);
    const report: KeptReport = {
      run,
      sequence,
      rows,
      gateways: load.gateways,
      asOf: nowMs - load.ageMs,
      receivedAt: nowMs,
    };
    reports.set(vm, report);
    if (kind === 'gateway') {
      this.sum.remove(known?.rows ?? []);
      this.sum.add(rows, nowMs);
    }
    return true;
  }

  /** Returns whether any gateway reports here. */
  hasReports(nowMs: number): boolean {
    this.expire(nowMs);
    return this.gateways.size > 0;
  }

  /** Returns the load of the gateways that report here. */
  getGroup(nowMs: number): LoadSums {
    this.expire(nowMs);
    return this.createSums(this.sum.getRows(nowMs), [...this.gateways.values()], nowMs);
  }

  /** Returns the load of all gateways but one. */
  getOthers(vm: VmId, nowMs: number): LoadSums {
    this.expire(nowMs);
    const own = this.gateways.get(vm);
    const groups = [...this.groups.values()];
    // Tokens sent and samples of the gateway itself stay in the sums, of which they are a small part.
    const ownRows = (own?.rows ?? []).map(([endpoint, calls, prefill, memory]): LoadRow => [
      endpoint,
      -calls,
      -prefill,
      -memory,
      0,
      0,
      0,
    ]);
    const rows = mergeRows([
      this.sum.getRows(nowMs),
      ...groups.map((group) => group.rows),
      ...(ownRows.length > 0 ? [ownRows] : []),
    ]);
    const others = [...this.gateways.values()].filter((report) => report !== own);
    return this.createSums(rows, [...others, ...groups], nowMs);
  }

  private createSums(rows: LoadRow[], reports: readonly KeptReport[], nowMs: number): LoadSums {
    let gateways = 0;
    let ageSum = 0;
    reports.forEach((report) => {
      gateways += report.gateways;
      ageSum += report.gateways * (nowMs - report.asOf);
    });
    return { rows, gateways, ageMs: Math.round(ageSum / Math.max(1, gateways)) };
  }

  private expire(nowMs: number): void {
    const oldest = nowMs - FIGURE_LIFETIME_MS;
    this.gateways.forEach((report, vm) => {
      if (report.receivedAt < oldest) {
        this.gateways.delete(vm);
        this.sum.remove(report.rows);
      }
    });
    this.groups.forEach((report, vm) => {
      if (report.receivedAt < oldest) {
        this.groups.delete(vm);
      }
    });
  }
}
