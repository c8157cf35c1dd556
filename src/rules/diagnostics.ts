/** The diagnostics of rules files. */

/** The diagnostics by name. `{0}` and `{1}` are placeholders for details. */
export const diagnostics = {
  missingRequester: {
    code: 6001,
    message: "a rule needs a comment that names who asked for it: '# NAME'",
  },
  unknownRule: { code: 6002, message: "unknown rule '{0}'; expected one of {1}" },
  missingName: { code: 6003, message: "'{0}' needs a name after it" },
  invalidField: { code: 6004, message: "expected NAME=VALUE, found '{0}'" },
  unknownField: { code: 6005, message: "'{0}' has no field '{1}'" },
  missingField: { code: 6006, message: "'{0}' needs the field '{1}'" },
  invalidValue: { code: 6007, message: "'{0}': {1}" },
  repeatedField: { code: 6008, message: "field '{0}' stands twice" },
  repeatedRule: { code: 6009, message: "'{0}' is already defined by line {1}" },
  unknownReference: { code: 6010, message: "no {0} is named '{1}'" },
} as const;

/** The name of a diagnostic. */
export type DiagnosticName = keyof typeof diagnostics;

/** One error in a rules file. */
export interface Diagnostic {
  readonly code: number;
  readonly line: number;
  readonly message: string;
}

/** Creates a diagnostic for a line number, counted from 1. */
export function createDiagnostic(
  name: DiagnosticName,
  line: number,
  ...details: readonly string[]
): Diagnostic {
  const { code, message } = diagnostics[name];
  const filled = message.replace(/\{(\d)\}/g, (_, index: string) => details[Number(index)] ?? '');
  return { code, line, message: filled };
}

/** Formats a diagnostic as `FILE:LINE: error CODE: MESSAGE`. */
export function formatDiagnostic(file: string, { code, line, message }: Diagnostic): string {
  return `${file}:${line}: error ${code}: ${message}`;
}
