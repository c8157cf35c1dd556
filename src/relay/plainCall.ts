/** Relays a call to a plain service. */
import type { StoredResponse } from '../controllers/claimController.js';
import type { EndpointCall, EndpointResponse } from '../types/endpoints.js';
import {
  ATTEMPT_HEADER,
  checkResponseHead,
  createFailedResult,
  failAttempt,
  waitForOutcome,
  type Attempt,
  type AttemptResult,
} from './attempt.js';
import { readResponseBody } from './readResponseBody.js';

const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'] as const;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Options of a call to a plain service. */
export interface PlainCallOptions {
  readonly path: string;
  /** Stores the outcome of a claimed call. */
  readonly recordOutcome: (response: StoredResponse) => Promise<void>;
}

/** Runs one attempt. A call that may have been sent is charged at its price, whatever the response. */
export async function runPlainCall(
  attempt: Attempt,
  options: PlainCallOptions,
): Promise<AttemptResult> {
  const { exchange, slot, timers, client, id, signal } = attempt;
  const { request } = exchange;
  const startedAt = timers.now();
  const call: EndpointCall = {
    url: `${slot.endpoint.info.url}${options.path}${request.query}`,
    method: request.method,
    headers: { ...getForwardedHeaders(request.headers), [ATTEMPT_HEADER]: id },
    body: request.body.length > 0 ? request.body : undefined,
    hasOwnConnection: !exchange.isRetryable,
    signal,
  };
  const sent = await client.send(call);
  if (sent.err) {
    if (sent.val.kind !== 'unreachable') {
      recordCallUsage(attempt);
    }
    return failAttempt(attempt, sent.val);
  }
  const finalResult = checkResponseHead(attempt, sent.val, call);
  if (finalResult) {
    return finalResult;
  }
  recordCallUsage(attempt);
  return deliver(attempt, options, sent.val, startedAt);
}

async function deliver(
  attempt: Attempt,
  options: PlainCallOptions,
  response: EndpointResponse,
  startedAt: number,
): Promise<AttemptResult> {
  const { exchange, slot, timers } = attempt;
  const body = await readResponseBody(response);
  if (body.err) {
    return failAttempt(attempt, body.val);
  }
  if (response.status >= 500 && exchange.isRetryable) {
    slot.release({ kind: 'failure' });
    const detail = `the endpoint answered ${response.status}`;
    return createFailedResult('serverError', true, 'endpointFailed', detail);
  }
  slot.release({ kind: 'success', latencyMs: timers.now() - startedAt });
  const contentType = response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE;
  const { status } = response;
  const stored = options.recordOutcome({ status, contentType, body: body.val });
  await exchange.storeBill('whole');
  await waitForOutcome(attempt, stored);
  const headers = { 'content-type': contentType, 'x-request-id': exchange.id };
  exchange.response.send(status, headers, body.val);
  return { kind: 'done' };
}

function recordCallUsage({ exchange }: Attempt): void {
  exchange.usage = { promptTokens: exchange.permission.service.callTokens, completionTokens: 0 };
}

function getForwardedHeaders(
  headers: Readonly<Record<string, string | undefined>>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  FORWARDED_HEADERS.forEach((name) => {
    const value = headers[name];
    if (value !== undefined) {
      forwarded[name] = value;
    }
  });
  return forwarded;
}
