/** Splits one line of the rules file into words and the comment that names who asked for it. */

/** A word of a rule with its column, from 1. */
export interface Word {
  readonly text: string;
  readonly column: number;
}

/** One line in its parts. */
export interface ScannedLine {
  readonly words: readonly Word[];
  /** The text after `#`, or `undefined` where the line has none. */
  readonly comment: string | undefined;
}

/**
 * Scans a line. Words are separated by blanks; `#` starts the comment.
 *
 * @example
 * scanLine('service quotes kind=engine # Rosa'); // three words, comment 'Rosa'
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
