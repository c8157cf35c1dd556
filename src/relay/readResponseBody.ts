/** Reads the body of a response into memory. */
import { ByteCollector } from '../core/byteCollector.js';
import { Err, Ok, type Result } from '../core/results.js';
import { EndpointError, type EndpointResponse, type EndpointFailure } from '../types/endpoints.js';

/** Largest response body that is read into memory. */
export const RESPONSE_BYTES_MAX = 16 * 1024 * 1024;

/** Reads the body of a response, or returns the failure that interrupted it. */
export async function readResponseBody(
  response: EndpointResponse,
): Promise<Result<Uint8Array, EndpointFailure>> {
  const body = new ByteCollector();
  try {
    for await (const chunk of response.body) {
      body.append(chunk);
      if (body.length > RESPONSE_BYTES_MAX) {
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
  return Ok(body.getBytes());
}
