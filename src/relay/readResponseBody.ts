/** Reads the body of a response into memory. */
import { Err, Ok, type Result } from '../core/results.js';
import { EndpointError, type EndpointResponse, type EndpointFailure } from '../types/endpoints.js';

/** Largest response body that is read into memory. */
export const RESPONSE_BYTES_MAX = 16 * 1024 * 1024;

/** Reads the body of a response, or returns the failure that interrupted it. */
export async function readResponseBody(
  response: EndpointResponse,
): Promise<Result<Uint8Array, EndpointFailure>> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const chunk of response.body) {
      chunks.push(chunk);
      length += chunk.length;
      if (length > RESPONSE_BYTES_MAX) {
        response.abort();
        return Err({ kind: 'silent', detail: `the answer is over ${RESPONSE_BYTES_MAX} bytes` });
      }
    }
  } catch (error) {
    if (error instanceof EndpointError) {
      return Err(error.failure);
    }
    throw error;
  }
  return Ok(Buffer.concat(chunks));
}
