/** The platform's keyed store: topics that retain the newest record of each key. */
import type { Result } from '../core/results.js';
import { StoreEra } from '../store/storeEra.js';
import type { Era, Offset } from './ids.js';

/** One record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  /** `undefined` if the record deletes its key. */
  readonly value: Uint8Array | undefined;
  readonly offset: Offset;
}

/** The newest record of each key, as of `end` or later. */
export interface NewestRecords {
  readonly records: readonly KeyedRecord[];
  /** Reading from this offset on returns every record that `records` lacks. */
  readonly end: Offset;
  /** The era to which the offsets belong. */
  readonly era: Era;
}

/** The result of one read. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** The offset at which to continue reading. */
  readonly next: Offset;
  /** The offset of the next append. */
  readonly end: Offset;
  /** The era to which the offsets belong. */
  readonly era: Era;
  /** Records that could not be decoded, by offset and reason. */
  readonly malformed: readonly { readonly offset: Offset; readonly detail: string }[];
}

/** The reason why a call to the store failed. */
export type StoreFailure =
  /** The store refused the call and did nothing. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The call had no effect, or its effect is unknown. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** Records before `first` have been trimmed. */
  | { readonly kind: 'trimmed'; readonly first: Offset }
  /** The condition of an append did not hold; nothing was appended. */
  | { readonly kind: 'conflict'; readonly end: Offset };

/** One partition of a topic. */
export interface Topic {
  readonly name: string;
  readonly part: number;
}

/** Options of a read. */
export interface KeyedReadOptions {
  readonly topic: Topic;
  readonly from: Offset;
  /** Maximum time that the store delays its response until there are records, in milliseconds. */
  readonly waitMs: number;
}

/** Options of an append. */
export interface KeyedAppendOptions {
  readonly topic: Topic;
  readonly key: string;
  /** `undefined` deletes the key. */
  readonly value: Uint8Array | undefined;
  /** The append succeeds only if this is the end offset of the topic; `undefined` for an append without a condition. */
  readonly at?: Offset | undefined;
}

/** The store. One subclass per platform. */
export abstract class KeyedStore {
  /**
   * The era of the store. A call fails as `unavailable` if its answer comes from another era than the one in which the
   * call was sent.
   */
  readonly era = new StoreEra();

  /** Returns the newest record of each key. */
  abstract readNewest(topic: Topic): Promise<Result<NewestRecords, StoreFailure>>;

  /** Returns records from an offset on, in order. */
  abstract read(options: KeyedReadOptions): Promise<Result<KeyedPage, StoreFailure>>;

  /** Appends one record, under a condition if there is one; returns the new end offset of the topic. */
  abstract append(options: KeyedAppendOptions): Promise<Result<Offset, StoreFailure>>;
}
