/** Splits a line of a rules file into words and a comment, which names the requester of the rule. */

/** A word of a rule with its column, counted from 1. */
export interface Word {
  readonly text: string;
  readonly column: number;
}

/** The words and the comment of one line. */
export interface ScannedLine {
  readonly words: readonly Word[];
  /** The trimmed text after `#`, or `undefined` if the line has no `#`. */
  readonly comment: string | undefined;
}

/**
 * Scans a line. Words are separated by white space; `#` starts the comment.
 *
 * @example
 * scanLine('service quotes type=engine # Rosa'); // three words, comment 'Rosa'
 */
export function scanLine(line: string): ScannedLine {
  const hash = line.indexOf('#');
  const code = hash < 0 ? line : line.slice(0, hash);
  const words = [...code.matchAll(/\S+/g)].map((match) => ({
    text: match[0],
    column: match.index + 1,
  }));
  return { words, comment: hash < 0 ? undefined : line.slice(hash + 1).trim() };
}
