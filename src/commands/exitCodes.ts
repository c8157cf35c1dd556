/** Exit codes of the command line, documented in docs/CODES.md. */
export const exitCodes = {
  ok: 0,
  /** The command ran with a negative result: a violated guarantee, a conflicting edit, rules with errors. */
  failed: 1,
  /** Invalid arguments or settings. */
  usage: 2,
  /** The log or another system is unavailable, or the outcome of the command is unknown. */
  unavailable: 3,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
