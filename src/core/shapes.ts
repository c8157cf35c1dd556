/** Validates external input against a schema. Errors name the invalid field. */
import * as z from 'zod';
import { Err, Ok, type Result } from './results.js';
import { getErrorMessage } from './utilities.js';

/** A text that survives UTF-8. Half of a surrogate pair does not: two names could become the same one. */
export const encodableText = z.string().regex(/^\P{Surrogate}*$/u, 'not encodable as UTF-8');

/**
 * Reads a value and validates it. An exception thrown by `read`, such as a syntax error, is returned as an error.
 *
 * @example
 * checkShape(schema, () => JSON.parse(text)); // Err('limits.bodyBytes: expected number')
 */
export function checkShape<Shape>(
  schema: z.ZodType<Shape>,
  read: () => unknown,
): Result<Shape, string> {
  try {
    const checked = schema.safeParse(read());
    if (checked.success) {
      return Ok(checked.data);
    }
    const problems = checked.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    return Err(problems.join('; '));
  } catch (error) {
    return Err(getErrorMessage(error));
  }
}

/** Parses JSON and validates the value. */
export function checkJsonShape<Shape>(
  schema: z.ZodType<Shape>,
  bytes: Uint8Array,
): Result<Shape, string> {
  return checkShape(schema, () => JSON.parse(Buffer.from(bytes).toString()));
}
