/** Exit codes of the command line, documented in docs/CODES.md. */
export const exitCodes = {
  ok: 0,
  /** The command ran and its answer is no: a broken promise, a lost race, rules with errors. */
  failed: 1,
  /** Wrong arguments or settings. */
  usage: 2,
  /** The log or another system could not be reached, or its answer is unknown. */
  unavailable: 3,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
