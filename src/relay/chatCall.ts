/** Code shared by streamed and buffered chat calls. */
import type { EndpointResponse, EndpointCall } from '../types/endpoints.js';
import { createRefusal } from '../core/codes.js';
import {
  ATTEMPT_HEADER,
  createFailedResult,
  failAttempt,
  type Attempt,
  type AttemptResult,
} from './attempt.js';
import { readResponseBody } from './readResponseBody.js';

/** Creates a chat completion call to an engine. */
export function createChatCall(
  attempt: Attempt,
  fields: Readonly<Record<string, unknown>>,
): EndpointCall {
  const { exchange, slot, id, signal } = attempt;
  return {
    url: `${slot.endpoint.info.url}/v1/chat/completions`,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      [ATTEMPT_HEADER]: id,
      'x-priority': String(exchange.permission.allow.priority),
    },
    body: Buffer.from(JSON.stringify(fields)),
    hasOwnConnection: exchange.isAtMostOnce,
    signal,
  };
}

/**
 * Handles an error status from an engine; returns `undefined` for a success. The body of a refusal is quoted only if the
 * caller's response has not started.
 */
export async function checkErrorStatus(
  attempt: Attempt,
  response: EndpointResponse,
  isStreamStarted = false,
): Promise<AttemptResult | undefined> {
  if (response.status < 400) {
    return undefined;
  }
  if (response.status >= 500) {
    response.abort();
    attempt.slot.release({ kind: 'failure' });
    const detail = `the endpoint answered ${response.status}`;
    return createFailedResult('serverError', true, 'endpointFailed', detail);
  }
  if (isStreamStarted) {
    response.abort();
    attempt.slot.release({ kind: 'neutral' });
    const detail = `the engine refused the request with ${response.status}`;
    return { kind: 'refused', refusal: createRefusal('answerCut', { detail }) };
  }
  const body = await readResponseBody(response);
  if (body.err) {
    return failAttempt(attempt, body.val);
  }
  attempt.slot.release({ kind: 'neutral' });
  const detail = `the engine refused the request: ${Buffer.from(body.val).toString('utf8').slice(0, 500)}`;
  return { kind: 'refused', refusal: createRefusal('invalidRequest', { detail }) };
}
