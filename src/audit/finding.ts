/** Audit findings and the guarantees they refer to. */
import type { StreamDump } from '../log/streamDump.js';

/** The name of a guarantee that the system gives its users. */
export type Guarantee = 'noOverspend' | 'billedOnce' | 'runAtMostOnce' | 'rulesNeverRevert';

/** The one-line description of each guarantee, printed in audit reports. */
export const guaranteeDescriptions: Readonly<Record<Guarantee, string>> = {
  noOverspend: "no workspace's spend exceeds its budget",
  billedOnce: 'each request is billed once',
  runAtMostOnce: 'a non-idempotent request runs at most once',
  rulesNeverRevert: 'accepted rules never revert',
};

/** A record, or a set of records, that violates a guarantee or should be reviewed. */
export interface Finding {
  readonly promise: Guarantee;
  /** `broken` is a violation of the guarantee; `note` is not. */
  readonly severity: 'broken' | 'note';
  readonly stream: string;
  /** The offset of the record; -1 if the finding concerns a sum over many records. */
  readonly offset: number;
  readonly detail: string;
}

/** Creates the finding for a stream that cannot be replayed because its oldest records were trimmed. */
export function createNotAuditedFinding(promise: Guarantee, dump: StreamDump): Finding {
  const detail = 'older records are gone and no checkpoint follows: not audited';
  return { promise, severity: 'note', stream: dump.stream, offset: dump.first, detail };
}
