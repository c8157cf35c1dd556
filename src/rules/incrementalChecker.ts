/** Keeps a checked rule set up to date by the lines that changed, not by the whole text. */
import { Ok, type Result } from '../core/results.js';
import type { RuleSet } from '../types/rules.js';
import { createRuleTable, getRuleSet, tryEditTable, type RuleTable } from './checker.js';
import type { Diagnostic } from './diagnostics.js';

/** An edit of more lines than this is checked as a whole text. */
const INCREMENTAL_LINES_MAX = 200;

/** The rules of a process, from version to version. */
export class IncrementalChecker {
  private lines: readonly string[] = [];

  private table: RuleTable | undefined;

  /**
   * Goes on to another text. Where that has errors the rules stay as they were.
   *
   * @example
   * const set = index.update(lines);
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
    const shorter = Math.min(before.length, after.length);
    let start = 0;
    while (start < shorter && before[start] === after[start]) {
      start += 1;
    }
    let end = 0;
    while (end < shorter - start && before.at(-1 - end) === after.at(-1 - end)) {
      end += 1;
    }
    const removed = before.slice(start, before.length - end);
    const inserted = after.slice(start, after.length - end);
    const isSmall = removed.length + inserted.length <= INCREMENTAL_LINES_MAX;
    return isSmall && tryEditTable(table, removed, inserted);
  }
}
