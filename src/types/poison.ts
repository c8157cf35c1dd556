/** What calls that crash endpoints have in common. */
import type { RouteName } from './gateway.js';
import type { Brand } from './ids.js';

/** Something that calls may share: a part of their prompts, or a whole call that is repeated. */
export type Feature = Brand<string, 'Feature'>;

/** One crash of one start of an endpoint. */
export type CrashId = Brand<string, 'CrashId'>;

/** Features that calls which crash endpoints have in common. Calls with all of them are refused. */
export interface PoisonPattern {
  /** In ascending order. */
  readonly features: readonly Feature[];
}

/** How many calls of a route endpoints answered, over the last seconds and over the last minutes. Older calls count less. */
export interface AnswerCounts {
  readonly recent: number;
  readonly usual: number;
}

/** A call that a crash of its endpoint broke off before the endpoint had begun to answer it. */
export interface CrashedCall {
  readonly route: RouteName;
  readonly features: readonly Feature[];
}
