/** The projection of the rules stream. An edit is accepted iff its base is the accepted version. */
import type { RulesVersion } from '../types/ids.js';
import type { EditEntry, Entry, LineChange } from '../types/records.js';
import { getSha256 } from '../core/utilities.js';
import { Projection } from './projection.js';

/** The number of decided edits retained, to report the accepted edit to editors and to update peers. */
export const RETAINED_EDITS_MAX = 1_000;

/** An edit with its result: accepted or rejected. */
export interface DecidedEdit {
  readonly entry: EditEntry;
  readonly accepted: boolean;
  /** The accepted version after the decision. */
  readonly version: RulesVersion;
}

/**
 * Applies line changes to a text. Positions refer to the text before the edit.
 *
 * @example
 * applyLineChanges(['a', 'b'], [{ at: 1, remove: 1, insert: ['c'] }]); // ['a', 'c']
 */
export function applyLineChanges(
  lines: readonly string[],
  changes: readonly LineChange[],
): string[] {
  const result: string[] = [];
  let position = 0;
  changes.forEach(({ at, remove, insert }) => {
    result.push(...lines.slice(position, at), ...insert);
    position = at + remove;
  });
  result.push(...lines.slice(position));
  return result;
}

/** Returns the digest of a rules text, which an edit contains for the text that results from it. */
export function getRulesDigest(lines: readonly string[]): string {
  return getSha256(lines.join('\n'));
}

/** The accepted rules and the decided edits. */
export class RulesProjection extends Projection {
  version = 0 as RulesVersion;

  lines: readonly string[] = [];

  /** Decided edits by id, oldest first. */
  readonly decidedEdits = new Map<string, DecidedEdit>();

  override apply(entry: Entry): void {
    if (entry.kind !== 'edit' || this.decidedEdits.has(entry.edit)) {
      return;
    }
    const lines = entry.base === this.version ? applyLineChanges(this.lines, entry.changes) : [];
    const accepted = entry.base === this.version && getRulesDigest(lines) === entry.digest;
    if (accepted) {
      this.lines = lines;
      this.version = (this.version + 1) as RulesVersion;
    }
    this.decidedEdits.set(entry.edit, { entry, accepted, version: this.version });
    this.evictOldestEdit();
  }

  override save(): unknown {
    return [this.version, this.lines, [...this.decidedEdits.values()]];
  }

  override load(saved: unknown): void {
    const [version, lines, decided] = saved as [RulesVersion, string[], DecidedEdit[]];
    this.version = version;
    this.lines = lines;
    this.decidedEdits.clear();
    decided.forEach((edit) => this.decidedEdits.set(edit.entry.edit, edit));
  }

  private evictOldestEdit(): void {
    if (this.decidedEdits.size > RETAINED_EDITS_MAX) {
      const [oldest] = this.decidedEdits.keys();
      this.decidedEdits.delete(oldest!);
    }
  }
}
