/** The platform's keyed log as the product uses it: topics that keep the newest record of each key. */
import type { Result } from '../core/results.js';
import type { Offset } from './ids.js';

/** One record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  /** `undefined` where the record drops its key. */
  readonly value: Uint8Array | undefined;
  readonly offset: Offset;
}

/** The newest record of each key, as of `end` or later. */
export interface NewestRecords {
  readonly records: readonly KeyedRecord[];
  /** Reading on from here misses nothing that `records` lacks. */
  readonly end: Offset;
}

/** What one read returns. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** The offset to read on from. */
  readonly next: Offset;
  /** The offset that the next append gets. */
  readonly end: Offset;
  /** Records that could not be decoded, by offset and reason. */
  readonly malformed: readonly { readonly offset: Offset; readonly detail: string }[];
}

/** Why a call to the store did not succeed. */
export type StoreFailure =
  /** The store refused the call and did nothing. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The call had no effect, or its effect is unknown. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** Records before `first` are gone. */
  | { readonly kind: 'trimmed'; readonly first: Offset }
  /** The condition of an append did not hold; it did nothing. */
  | { readonly kind: 'conflict'; readonly end: Offset };

/** A topic of the store, with one partition. */
export interface Topic {
  readonly name: string;
  readonly part: number;
}

/** Options of a read. */
export interface KeyedReadOptions {
  readonly topic: Topic;
  readonly from: Offset;
  /** How long the store holds the call until there are records, in milliseconds. */
  readonly waitMs: number;
}

/** Options of an append. */
export interface KeyedAppendOptions {
  readonly topic: Topic;
  readonly key: string;
  readonly value: Uint8Array;
  /** The append takes effect only if the topic ends here. */
  readonly at: Offset;
}

/** The store. One subclass per platform. */
export abstract class KeyedStore {
  /** Returns the newest record of each key. */
  abstract readNewest(topic: Topic): Promise<Result<NewestRecords, StoreFailure>>;

  /** Returns records from an offset on, in order. */
  abstract read(options: KeyedReadOptions): Promise<Result<KeyedPage, StoreFailure>>;

  /** Appends one record under a condition; returns the topic's new end. */
  abstract append(options: KeyedAppendOptions): Promise<Result<Offset, StoreFailure>>;
}
