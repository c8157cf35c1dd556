/** Branded identifiers, so that one kind of id can't be passed where another is expected. */

declare const brand: unique symbol;

/** A value of type `T` with a compile-time tag, so that no plain `T` is assignable to it. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** A customer's workspace. */
export type WorkspaceId = Brand<string, 'WorkspaceId'>;
/** A prepaid token budget. */
export type BudgetId = Brand<string, 'BudgetId'>;
/** One payment into a budget. */
export type FundId = Brand<string, 'FundId'>;
/** A caller's request; stable across the caller's retries when it sends an id of its own. */
export type RequestId = Brand<string, 'RequestId'>;
/** One run of one router process; never reused. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** A vm as the platform's list names it. */
export type VmId = Brand<string, 'VmId'>;
/** A failure domain inside a region. */
export type AvailabilityZone = Brand<string, 'AvailabilityZone'>;
/** A service that callers may use, such as `assistant` or `orders`. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** The version of an endpoint's software; equality is all that it says. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
/** A stream of the platform's log. */
export type StreamName = Brand<string, 'StreamName'>;
/** The position of a record in a stream, from 0. */
export type Offset = Brand<number, 'Offset'>;
/** How often the store has returned from an older copy, as its answers say; 0 if they don't. */
export type Era = Brand<number, 'Era'>;
/** The number of accepted rule edits. */
export type RulesVersion = Brand<number, 'RulesVersion'>;
/** Identifies a call that may run at most once, within its workspace. */
export type ClaimKey = Brand<string, 'ClaimKey'>;

/**
 * Brands a plain value that was validated or created elsewhere.
 *
 * @example
 * const budget = brandId<BudgetId>('quotes-lima');
 */
export function brandId<Id extends Brand<string | number, string>>(
  value: Id extends string ? string : number,
): Id {
  return value as unknown as Id;
}
