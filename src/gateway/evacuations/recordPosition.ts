/** Positions of records over all eras of the store. An offset is compared only within its era. */
import type { RecordPosition } from '../../types/peers.js';

/** The position before every record. */
export const START_POSITION: RecordPosition = { era: 0, offset: 0 };

/**
 * Returns a negative number if the first position is before the second one, 0 if they are equal, and otherwise a positive one.
 *
 * @example
 * comparePositions({ era: 1, offset: 4 }, { era: 0, offset: 90 }); // 1
 */
export function comparePositions(first: RecordPosition, second: RecordPosition): number {
  return first.era - second.era || first.offset - second.offset;
}

/**
 * Returns the later one of two positions.
 *
 * @example
 * getLater({ era: 0, offset: 4 }, { era: 0, offset: 9 }); // { era: 0, offset: 9 }
 */
export function getLater(first: RecordPosition, second: RecordPosition): RecordPosition {
  return comparePositions(first, second) >= 0 ? first : second;
}

/**
 * Returns whether a value has the shape of a position.
 *
 * @example
 * isPosition({ era: 0, offset: -1 }); // false
 */
export function isPosition(value: unknown): value is RecordPosition {
  const { era, offset } = (value ?? {}) as Partial<RecordPosition>;
  return isCount(era) && isCount(offset);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
