/**
 * The era of the store: a number that increases each time the store returns from an older copy. Offsets and conditions
 * are valid only in the era in which they were read.
 */
import type { Unsubscribe } from '../core/timers.js';
import type { Era } from '../types/ids.js';

/** The era of a store whose answers name none. */
export const NO_ERA = 0 as Era;

/** The store returned from an older copy. */
export interface EraChange {
  readonly previous: Era;
  readonly era: Era;
}

/** Called with each increase of the era, before the answer that showed it is passed on. */
export type EraListener = (change: EraChange) => void;

/**
 * The newest era that any answer of the store has shown. The store's client is its only writer.
 *
 * @example
 * const sentIn = era.getSendEra();
 * const response = await send();
 * const isTrusted = era.acceptAnswer(sentIn, response.era);
 */
export class StoreEra {
  private era: Era | undefined;

  private readonly listeners = new Set<EraListener>();

  /** Returns the current era; `NO_ERA` before the first answer and for a store that names none. */
  getEra(): Era {
    return this.era ?? NO_ERA;
  }

  /** Returns the era to pass to `acceptAnswer` with the answer of a call sent now; `undefined` before the first answer. */
  getSendEra(): Era | undefined {
    return this.era;
  }

  /** Subscribes to increases of the era. The first answer sets the era and is no increase. */
  onChange(listener: EraListener): Unsubscribe {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Takes the era of an answer and returns whether the answer may be used. It may not if it comes from an older era than
   * the current one, or from a newer one than that in which the call was sent, because the call's offset then denotes
   * another record. The effect of such a call is unknown.
   */
  acceptAnswer(sentIn: Era | undefined, answered: Era): boolean {
    const previous = this.era;
    if (previous === undefined) {
      this.era = answered;
      return true;
    }
    if (answered > previous) {
      this.era = answered;
      this.listeners.forEach((listener) => listener({ previous, era: answered }));
    }
    return answered === this.era && (sentIn === undefined || sentIn === answered);
  }
}

/**
 * Returns the era that a header names; `NO_ERA` if it names none or is malformed.
 *
 * @example
 * parseEra('7'); // 7
 */
export function parseEra(header: string | readonly string[] | undefined): Era {
  const isNumber = typeof header === 'string' && /^\d{1,15}$/.test(header);
  return isNumber ? (Number(header) as Era) : NO_ERA;
}
