/** Reads a whole body. */
import { Err, Ok, type Result } from '../core/results.js';
import { EndpointError, type EndpointAnswer, type EndpointFailure } from '../types/endpoints.js';

/** Largest answer that is held in memory, in bytes. */
export const RESPONSE_BYTES_MAX = 16 * 1024 * 1024;

/** Reads the body of an answer, or returns how it broke off. */
export async function readResponseBody(
  answer: EndpointAnswer,
): Promise<Result<Uint8Array, EndpointFailure>> {
  const parts: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const part of answer.body) {
      parts.push(part);
      length += part.length;
      if (length > RESPONSE_BYTES_MAX) {
        answer.abort();
        return Err({ kind: 'silent', detail: `the answer is over ${RESPONSE_BYTES_MAX} bytes` });
      }
    }
  } catch (error) {
    if (error instanceof EndpointError) {
      return Err(error.failure);
    }
    throw error;
  }
  return Ok(Buffer.concat(parts));
}
