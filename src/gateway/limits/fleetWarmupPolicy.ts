/** Divides the rate of cold endpoints between the gateways of the fleet, without communication. */
import type { TimerService } from '../../core/timers.js';
import { getOrCreate } from '../../core/utilities.js';
import type { BucketShape } from '../../routing/tokenBucket.js';
import type { GatewayConfig, WarmupConfig } from '../../types/gateway.js';
import type { ServiceName, VmId } from '../../types/ids.js';
import { FleetView, type FleetViewOptions } from './fleetView.js';
import { getGatewayRank, type GatewayRank } from './rateShare.js';
import { WarmupPolicy } from './warmupLimit.js';

/** In any second a cold endpoint may get its rate times `overage` plus `burst` calls. */
export interface WarmupTolerance {
  /** Default 1.5. */
  readonly overage?: number | undefined;
  /** Default 5. */
  readonly burst?: number | undefined;
}

/** Options of the policy. */
export interface FleetWarmupPolicyOptions extends FleetViewOptions {
  readonly timers: TimerService;
  readonly vm: VmId;
  readonly tolerance?: WarmupTolerance;
}

const DEFAULT_OVERAGE = 1.5;
const DEFAULT_BURST = 5;
/** The rest of the tolerance is for gateways that count the fleet differently. */
const USED_TOLERANCE_RATIO = 0.5;

/** More endpoints than a fleet has. */
const SHAPES_MAX = 10_000;

const NO_PART: BucketShape = { ratePerSecond: 0, size: 0 };

/** The parts of one gateway. */
export class FleetWarmupPolicy extends WarmupPolicy {
  private readonly fleet: FleetView;

  private services: ReadonlyMap<ServiceName, WarmupConfig> = new Map();

  /** By service and endpoint. */
  private readonly shapes = new Map<string, BucketShape>();

  /** The generation of the fleet that `shapes` are for. */
  private generation = 0;

  private wasSettled = false;

  constructor(private readonly options: FleetWarmupPolicyOptions) {
    super();
    this.fleet = new FleetView(options);
  }

  /** Uses the rates of a configuration from now on. */
  applyConfig({ services }: Pick<GatewayConfig, 'services'>): void {
    this.services = new Map(
      services.flatMap(({ name, warmup }) => (warmup ? [[name, warmup] as const] : [])),
    );
    this.shapes.clear();
    if (this.services.size > 0) {
      this.fleet.open();
    } else {
      this.fleet.close();
    }
  }

  stop(): void {
    this.fleet.close();
  }

  override getDurationMs(service: ServiceName): number {
    return this.services.get(service)?.durationMs ?? 0;
  }

  override getShape(service: ServiceName, endpoint: VmId): BucketShape | undefined {
    const warmup = this.services.get(service);
    if (!warmup) {
      return undefined;
    }
    this.discardOutdatedShapes();
    return getOrCreate(this.shapes, `${service}\n${endpoint}`, () =>
      getWarmupShare(warmup.perSecond, this.getRank(endpoint), this.options.tolerance),
    );
  }

  /** Ranking a large fleet takes time, so the shapes are kept until the fleet changes. */
  private discardOutdatedShapes(): void {
    const generation = this.fleet.getGeneration();
    const isSettled = this.fleet.isSettled(this.options.vm);
    const isOutdated = this.generation !== generation || this.wasSettled !== isSettled;
    if (isOutdated || this.shapes.size >= SHAPES_MAX) {
      this.generation = generation;
      this.wasSettled = isSettled;
      this.shapes.clear();
    }
  }

  private getRank(endpoint: VmId): GatewayRank {
    const members = this.fleet.getMembers();
    return this.wasSettled
      ? getGatewayRank(endpoint, this.options.vm, members)
      : { rank: undefined, fleetSize: members.length };
  }
}

/**
 * Returns the part of one gateway of the calls to a cold endpoint. In any second the parts of all gateways allow the rate
 * and one call for each that has a part, which uses half of the tolerance.
 *
 * @example
 * getWarmupShare(14, { rank: 0, fleetSize: 86 }); // { ratePerSecond: 2.333, size: 1 }: six gateways share the rate
 */
export function getWarmupShare(
  ratePerSecond: number,
  { rank, fleetSize }: GatewayRank,
  { overage = DEFAULT_OVERAGE, burst = DEFAULT_BURST }: WarmupTolerance = {},
): BucketShape {
  const bound = ratePerSecond * overage + burst;
  const headroom = Math.max(0, bound - ratePerSecond);
  const sharerCount = Math.max(1, Math.min(fleetSize, Math.floor(headroom * USED_TOLERANCE_RATIO)));
  const usableRate = Math.min(ratePerSecond, bound - sharerCount);
  return rank === undefined || rank >= sharerCount || usableRate <= 0
    ? NO_PART
    : { ratePerSecond: usableRate / sharerCount, size: 1 };
}
