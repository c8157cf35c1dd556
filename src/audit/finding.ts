/** What an audit says. */
import type { StreamDump } from '../log/streamDump.js';

/** A promise of the product. */
export type Guarantee = 'noOverspend' | 'billedOnce' | 'runAtMostOnce' | 'rulesNeverRevert';

/** What each promise says, in one line. */
export const guaranteeDescriptions: Readonly<Record<Guarantee, string>> = {
  noOverspend: "no workspace's spend exceeds its budget",
  billedOnce: 'each request is billed once',
  runAtMostOnce: 'a non-idempotent request runs at most once',
  rulesNeverRevert: 'accepted rules never revert',
};

/** One record, or a set of them, that breaks a promise or deserves a look. */
export interface Finding {
  readonly promise: Guarantee;
  /** `note` does not break the promise. */
  readonly severity: 'broken' | 'note';
  readonly stream: string;
  /** The record that shows it; -1 where it is a sum over many. */
  readonly offset: number;
  readonly detail: string;
}

/** Creates the note for a stream that can't be replayed, since its oldest records are gone. */
export function createNotAuditedFinding(promise: Guarantee, dump: StreamDump): Finding {
  const detail = 'older records are gone and no checkpoint follows: not audited';
  return { promise, severity: 'note', stream: dump.stream, offset: dump.first, detail };
}
