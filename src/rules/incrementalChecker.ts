/** Checks new versions of the rules by their changed lines instead of the full text. */
import { Ok, type Result } from '../core/results.js';
import type { RuleSet } from '../types/rules.js';
import { createRuleTable, getRuleSet, tryEditTable, type RuleTable } from './checker.js';
import type { Diagnostic } from './diagnostics.js';

/** Edits that change more lines than this are checked as a full text. */
const INCREMENTAL_LINES_MAX = 200;

/** Maintains the checked rule set of a process across versions. */
export class IncrementalChecker {
  private lines: readonly string[] = [];

  private table: RuleTable | undefined;

  /**
   * Replaces the text. If it has errors, the rule set is unchanged.
   *
   * @example
   * const set = checker.update(lines);
   * if (set.err) set.val.forEach(({ line, message }) => report(line, message));
   */
  update(lines: readonly string[]): Result<RuleSet, readonly Diagnostic[]> {
    if (this.table && this.tryUpdate(this.table, lines)) {
      this.lines = lines;
      return Ok(getRuleSet(this.table));
    }
    const created = createRuleTable(lines);
    if (created.ok) {
      this.table = created.val;
      this.lines = lines;
    }
    return created.map(getRuleSet);
  }

  private tryUpdate(table: RuleTable, after: readonly string[]): boolean {
    const before = this.lines;
    const minLength = Math.min(before.length, after.length);
    let prefixLength = 0;
    while (prefixLength < minLength && before[prefixLength] === after[prefixLength]) {
      prefixLength += 1;
    }
    let suffixLength = 0;
    while (
      suffixLength < minLength - prefixLength &&
      before.at(-1 - suffixLength) === after.at(-1 - suffixLength)
    ) {
      suffixLength += 1;
    }
    const removed = before.slice(prefixLength, before.length - suffixLength);
    const inserted = after.slice(prefixLength, after.length - suffixLength);
    const isSmall = removed.length + inserted.length <= INCREMENTAL_LINES_MAX;
    return isSmall && tryEditTable(table, removed, inserted);
  }
}
