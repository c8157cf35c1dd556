/** The features of a call by which calls that crash endpoints are recognized. */
import { getSha256 } from '../core/utilities.js';
import type { PromptPart } from '../types/gateway.js';
import type { Feature } from '../types/poison.js';

const CALL_PREFIX = 'call:';
const PART_PREFIX = 'part:';
const DIGEST_LENGTH = 24;
const PARTS_MAX = 32;

/** Returns the features of the parts that calls may share. The last part belongs to one call or session. */
export function getPartFeatures(parts: readonly PromptPart[]): Feature[] {
  const shared = parts.slice(0, -1).slice(0, PARTS_MAX);
  return [...new Set(shared.map(({ id }) => `${PART_PREFIX}${id}` as Feature))];
}

/** The content by which a repeated call is recognized. */
export interface CallContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly workspace: string;
  readonly body: Buffer;
}

/**
 * Returns the feature that a call shares only with its repeats.
 *
 * @example
 * getCallFeature({ method: 'POST', target: '/a/x', workspace: 'yard', body }); // 'call:5f2c...'
 */
export function getCallFeature({ method, target, workspace, body }: CallContent): Feature {
  const digest = getSha256(`${method} ${target}\n${workspace}\n`, body);
  return `${CALL_PREFIX}${digest.slice(0, DIGEST_LENGTH)}` as Feature;
}

/** Returns whether only the repeats of one call have the feature. */
export function isCallFeature(feature: Feature): boolean {
  return feature.startsWith(CALL_PREFIX);
}
