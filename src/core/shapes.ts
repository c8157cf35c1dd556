/** Checks what comes from outside against a schema, with errors that name the field. */
import type * as z from 'zod';
import { Err, Ok, type Result } from './results.js';
import { getErrorMessage } from './utilities.js';

/**
 * Reads a value and checks its shape. What the reading throws, such as a syntax error, is an error too.
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

/** Reads JSON from bytes and checks its shape. */
export function checkJsonShape<Shape>(
  schema: z.ZodType<Shape>,
  bytes: Uint8Array,
): Result<Shape, string> {
  return checkShape(schema, () => JSON.parse(Buffer.from(bytes).toString()));
}
