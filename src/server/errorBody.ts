/** Creates HTTP error responses for refusals, in the error format of the OpenAI API. */
import { codes, type CodeEntry, type ExecutionState, type Refusal } from '../core/codes.js';

/** The body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly param: string | null;
    /** The code's name. */
    readonly code: string;
    /** The code's number in docs/CODES.md. */
    readonly number: number;
    readonly ran: ExecutionState;
    readonly retry_after_ms?: number;
  };
}

/** Creates the body of an error response. */
export function createErrorBody(refusal: Refusal): ErrorBody {
  const entry: CodeEntry = codes[refusal.name];
  return {
    error: {
      message: refusal.detail,
      type: entry.type,
      param: refusal.field ?? null,
      code: refusal.name,
      number: entry.code,
      ran: refusal.ran,
      retry_after_ms: refusal.retryAfterMs,
    },
  };
}

/** Returns the HTTP status of a refusal. */
export function getErrorStatus(refusal: Refusal): number {
  return codes[refusal.name].status;
}

/** Returns the headers of a refusal. Retry times are rounded up, so that callers do not retry too early. */
export function getErrorHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1_000));
    headers['retry-after-ms'] = String(Math.ceil(refusal.retryAfterMs));
  }
  return headers;
}
