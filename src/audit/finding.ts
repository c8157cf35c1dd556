/** What an audit says. */

/** A promise of the product. */
export type AuditedPromise = 'noOverspend' | 'billedOnce' | 'runAtMostOnce' | 'rulesNeverRevert';

/** What each promise says, in one line. */
export const promiseTexts: Readonly<Record<AuditedPromise, string>> = {
  noOverspend: "no workspace's spend exceeds its budget",
  billedOnce: 'each request is billed once',
  runAtMostOnce: 'a non-idempotent request runs at most once',
  rulesNeverRevert: 'accepted rules never revert',
};

/** One record, or a set of them, that breaks a promise or deserves a look. */
export interface Finding {
  readonly promise: AuditedPromise;
  /** `note` does not break the promise. */
  readonly severity: 'broken' | 'note';
  readonly stream: string;
  /** The record that shows it; -1 where it is a sum over many. */
  readonly offset: number;
  readonly detail: string;
}
