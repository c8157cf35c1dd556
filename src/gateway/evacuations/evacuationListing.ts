/** Checks the evacuations that a peer sends. */
import type { EvacuationListing, EvacuationWord } from '../../types/peers.js';
import { isPosition } from './recordPosition.js';

/** The usable part of a listing, and why the rest can't be used. */
export interface ReadEvacuations {
  readonly listing: EvacuationListing | undefined;
  readonly problems: readonly string[];
}

/**
 * Reads a listing of a peer; zones that can't be read are left out.
 *
 * @example
 * readEvacuationListing(7).problems; // ['expected a position and a list of zones']
 */
export function readEvacuationListing(received: unknown): ReadEvacuations {
  const { next, zones } = (received ?? {}) as Partial<EvacuationListing>;
  if (!isPosition(next) || !Array.isArray(zones)) {
    return { listing: undefined, problems: ['expected a position and a list of zones'] };
  }
  const usable = (zones as unknown[]).filter(isWord);
  const unusableCount = zones.length - usable.length;
  return {
    // The absence of a zone must not be taken from a list that is read in part.
    listing: { next: unusableCount > 0 ? { era: 0, offset: 0 } : next, zones: usable },
    problems: unusableCount > 0 ? [`${unusableCount} zones without name or position`] : [],
  };
}

function isWord(value: unknown): value is EvacuationWord {
  const { zone, position, isEvacuated, leftMs } = (value ?? {}) as Partial<EvacuationWord>;
  return (
    typeof zone === 'string' &&
    zone !== '' &&
    isPosition(position) &&
    typeof isEvacuated === 'boolean' &&
    (leftMs === undefined || (typeof leftMs === 'number' && leftMs >= 0))
  );
}
