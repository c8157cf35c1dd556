/** Which calls of this process endpoints answered of late, by feature and by route. */
import { LRUCache } from 'lru-cache';
import { DecayingSum } from '../core/decayingSum.js';
import type { TimerService } from '../core/timers.js';
import type { RouteName } from '../types/gateway.js';
import type { AnswerCounts, Feature } from '../types/poison.js';
import { RECENT_TIME_CONSTANT_MS, USUAL_TIME_CONSTANT_MS } from './assessFeatures.js';

const FEATURES_MAX = 5_000;
const ROUTES_MAX = 1_000;

/** The answered calls of one route. */
class RouteHistory {
  readonly recent = new DecayingSum(RECENT_TIME_CONSTANT_MS);

  readonly usual = new DecayingSum(USUAL_TIME_CONSTANT_MS);
}

/** Remembers when each feature was answered, and counts the answered calls of each route. */
export class CallHistory {
  private readonly answeredAt = new LRUCache<Feature, number>({ max: FEATURES_MAX });

  private readonly routes = new LRUCache<RouteName, RouteHistory>({ max: ROUTES_MAX });

  constructor(private readonly timers: TimerService) {}

  /** Records that an endpoint has begun to answer a call and has survived it. */
  recordAnswered(route: RouteName, features: readonly Feature[]): void {
    const now = this.timers.now();
    features.forEach((feature) => this.answeredAt.set(feature, now));
    const history = this.routes.get(route) ?? new RouteHistory();
    history.recent.add(1, now);
    history.usual.add(1, now);
    this.routes.set(route, history);
  }

  /** Returns when an endpoint last answered a call with the feature, as far as this process knows. */
  getAnsweredAt(feature: Feature): number | undefined {
    return this.answeredAt.get(feature);
  }

  /** Records when an endpoint answered a call of another process. */
  mergeAnsweredAt(feature: Feature, at: number): void {
    this.answeredAt.set(feature, Math.max(at, this.answeredAt.get(feature) ?? at));
  }

  /** Returns how many of this process's calls on a route were answered. */
  getAnswerCounts(route: RouteName): AnswerCounts {
    const now = this.timers.now();
    const history = this.routes.get(route);
    return { recent: history?.recent.get(now) ?? 0, usual: history?.usual.get(now) ?? 0 };
  }
}

/** Adds the counts of several processes. */
export function sumAnswerCounts(all: readonly AnswerCounts[]): AnswerCounts {
  return {
    recent: all.reduce((sum, { recent }) => sum + recent, 0),
    usual: all.reduce((sum, { usual }) => sum + usual, 0),
  };
}
