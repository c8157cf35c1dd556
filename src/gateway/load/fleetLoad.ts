/** The estimate of each endpoint's load by the whole fleet: the other gateways' sums as received, and this gateway's own calls. */
import { getOrCreate } from '../../core/utilities.js';
import type { Incarnation, ServiceName, VmId } from '../../types/ids.js';
import type { LoadReport, LoadRow, LoadSums } from '../../types/peers.js';
import { FIGURE_LIFETIME_MS } from './loadAggregate.js';
import { getValidRows } from './loadSum.js';
import type { OwnLoad } from './ownLoad.js';

/** The load of an endpoint at present. */
export interface EndpointLoad {
  readonly calls: number;
  /** Prompt tokens that await prefill. */
  readonly prefillTokens: number;
  readonly memoryTokens: number;
  /** Time that the endpoint takes to prefill one token, in milliseconds. */
  readonly msPerToken: number;
}

/** Options of the estimate. */
export interface FleetLoadOptions {
  readonly own: OwnLoad;
  /** Returns the service of an endpoint, or `undefined` if it is not listed. */
  readonly getService: (endpoint: VmId) => ServiceName | undefined;
  /** Returns how many gateways there are, this one included. */
  readonly getFleetSize: () => number;
}

/** The part of the other gateways that sums must cover. */
const COVERAGE_MIN = 1 / 3;
/** Until there are samples: a common speed of engines. */
const DEFAULT_MS_PER_TOKEN = 0.01;
/** An endpoint's samples weigh as much as the mean of its service at this number of tokens. */
const PRIOR_TOKENS = 20_000;
/** Bounds the ratio to the mean of the service; engines of one service differ by less. */
const SPEED_RATIO_MAX = 4;
const MS_PER_S = 1_000;

/** Times to the first event and the tokens prefilled in them. */
interface SpeedSamples {
  ms: number;
  tokens: number;
}

/** The load of the fleet as one gateway knows it. */
export class FleetLoad {
  private readonly rows = new Map<VmId, LoadRow>();

  private readonly speeds = new Map<ServiceName, SpeedSamples>();

  /** When the figures were current. */
  private asOf = Number.NEGATIVE_INFINITY;

  private receivedAt = Number.NEGATIVE_INFINITY;

  /** The part of the other gateways that the sums cover, in (0, 1]. */
  private coverage = 0;

  private source: { readonly run: Incarnation; readonly sequence: number } | undefined;

  constructor(private readonly options: FleetLoadOptions) {}

  /** Applies the sums of an aggregator, unless newer ones of it are known. */
  apply(
    { run, sequence, load }: Pick<LoadReport, 'run' | 'sequence' | 'load'>,
    nowMs: number,
  ): void {
    if (this.source?.run === run && sequence <= this.source.sequence) {
      return;
    }
    this.source = { run, sequence };
    this.asOf = nowMs - load.ageMs;
    this.receivedAt = nowMs;
    this.coverage = this.getCoverage(load);
    this.rows.clear();
    this.speeds.clear();
    getValidRows(load.rows).forEach((row) => this.applyRow(row));
  }

  /** Returns whether the sums are recent and cover enough of the fleet. */
  isUsable(nowMs: number): boolean {
    // The aggregator has left out expired figures; their age is no reason to do without the others.
    return nowMs - this.receivedAt <= FIGURE_LIFETIME_MS && this.coverage >= COVERAGE_MIN;
  }

  /** Returns the load of an endpoint, this gateway's calls included. */
  getLoad(endpoint: VmId, service: ServiceName, nowMs: number): EndpointLoad {
    const own = this.options.own.get(endpoint);
    const row = this.rows.get(endpoint);
    const msPerToken = this.getMsPerToken(row, service);
    if (!row) {
      return { ...own, msPerToken };
    }
    const [, calls, prefillTokens, memoryTokens, sentPerS] = row;
    const scale = 1 / this.coverage;
    const ageMs = Math.max(0, nowMs - this.asOf);
    const sent = (sentPerS * scale * ageMs) / MS_PER_S;
    const prefilled = ageMs / msPerToken;
    return {
      calls: own.calls + calls * scale,
      prefillTokens: own.prefillTokens + Math.max(0, prefillTokens * scale + sent - prefilled),
      memoryTokens: own.memoryTokens + memoryTokens * scale,
      msPerToken,
    };
  }

  private getCoverage({ gateways }: LoadSums): number {
    const others = Math.max(1, this.options.getFleetSize() - 1);
    return Math.min(1, gateways / others);
  }

  private applyRow(row: LoadRow): void {
    const [endpoint, , , , , ms, tokens] = row;
    const service = this.options.getService(endpoint);
    this.rows.set(endpoint, row);
    if (service !== undefined && tokens > 0) {
      const samples = getOrCreate(this.speeds, service, () => ({ ms: 0, tokens: 0 }));
      samples.ms += ms;
      samples.tokens += tokens;
    }
  }

  private getMsPerToken(row: LoadRow | undefined, service: ServiceName): number {
    const samples = this.speeds.get(service);
    const mean = samples ? samples.ms / samples.tokens : DEFAULT_MS_PER_TOKEN;
    const [ms, tokens] = row ? [row[5], row[6]] : [0, 0];
    const estimate = (ms + mean * PRIOR_TOKENS) / (tokens + PRIOR_TOKENS);
    return Math.max(mean / SPEED_RATIO_MAX, Math.min(mean * SPEED_RATIO_MAX, estimate));
  }
}
