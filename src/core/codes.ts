/** The table of result codes. A test checks docs/CODES.md against it. */

/** Whether a refused request was executed, as far as is known. */
export type ExecutionState = 'not_run' | 'unknown' | 'partial' | 'ran';

/** One row of the code table. */
export interface CodeEntry {
  /** The number that callers and operators see. */
  readonly code: number;
  /** The HTTP status sent with the code, or 0 if the code is never sent to a caller. */
  readonly status: number;
  /** The error type of the OpenAI API. */
  readonly type: string;
  /** Whether the request was executed, as the code implies. */
  readonly ran: ExecutionState;
  /** Description of the error; the default detail of a refusal. */
  readonly message: string;
}

function entry(
  code: number,
  status: number,
  type: string,
  ran: ExecutionState,
  message: string,
): CodeEntry {
  return { code, status, type, ran, message };
}

/** Every result code, by name. */
export const codes = {
  invalidKey: entry(
    1001,
    401,
    'invalid_request_error',
    'not_run',
    'The caller key is missing or unknown.',
  ),
  invalidJson: entry(1002, 400, 'invalid_request_error', 'not_run', 'The body is not valid JSON.'),
  invalidRequest: entry(
    1003,
    400,
    'invalid_request_error',
    'not_run',
    'A field of the body is missing or has the wrong type.',
  ),
  unknownModel: entry(
    1004,
    404,
    'invalid_request_error',
    'not_run',
    'No service offers the model.',
  ),
  bodyTooLarge: entry(
    1005,
    413,
    'invalid_request_error',
    'not_run',
    'The body is over the size limit.',
  ),
  unknownService: entry(
    1006,
    404,
    'invalid_request_error',
    'not_run',
    'No rule names the service.',
  ),
  notAllowed: entry(
    1007,
    403,
    'invalid_request_error',
    'not_run',
    'No rule lets the caller use the service.',
  ),
  keyReused: entry(
    1008,
    422,
    'invalid_request_error',
    'not_run',
    'The id was used before with another body.',
  ),
  unknownRoute: entry(1009, 404, 'invalid_request_error', 'not_run', 'No such path or method.'),
  invalidHeader: entry(
    1010,
    400,
    'invalid_request_error',
    'not_run',
    'A header has a value that can not be used.',
  ),
  headersTooLarge: entry(
    1014,
    431,
    'invalid_request_error',
    'not_run',
    'The headers are over the size limit.',
  ),
  bodyTimeout: entry(
    1011,
    408,
    'invalid_request_error',
    'not_run',
    'The body did not arrive in time.',
  ),
  inProgress: entry(
    1012,
    409,
    'invalid_request_error',
    'unknown',
    'The same request is running here; its answer goes to the first caller.',
  ),
  repeatedTooOften: entry(
    1013,
    429,
    'rate_limit_error',
    'not_run',
    'The request was answered and billed before; it was repeated too often.',
  ),
  budgetExhausted: entry(
    2001,
    429,
    'insufficient_quota',
    'not_run',
    'The budget does not cover the worst case of the request.',
  ),
  budgetUnavailable: entry(
    2002,
    503,
    'server_error',
    'not_run',
    'The budget can not be drawn on while the log is out of reach.',
  ),
  balanceTooLow: entry(
    2003,
    402,
    'insufficient_quota',
    'not_run',
    'The log shows that what is left of the prepaid total does not cover the request.',
  ),
  tokensLent: entry(
    2004,
    503,
    'server_error',
    'not_run',
    'This router has too few tokens of the budget at hand.',
  ),
  queueFull: entry(
    3001,
    429,
    'rate_limit_error',
    'not_run',
    'The queue is full of requests worth more.',
  ),
  deadlineUnmeetable: entry(
    3002,
    503,
    'server_error',
    'not_run',
    'The request can not start before its deadline.',
  ),
  draining: entry(3003, 503, 'server_error', 'not_run', 'The router is shutting down.'),
  notReady: entry(
    3004,
    503,
    'server_error',
    'not_run',
    'The router has no proven configuration yet.',
  ),
  overloaded: entry(
    3005,
    503,
    'server_error',
    'not_run',
    'This router has more calls than it can serve in time; others have room.',
  ),
  noEndpoint: entry(
    4001,
    503,
    'server_error',
    'not_run',
    'No endpoint of the service can take work.',
  ),
  endpointFailed: entry(
    4002,
    502,
    'server_error',
    'unknown',
    'The endpoint failed before its answer was whole.',
  ),
  answerCut: entry(
    4003,
    502,
    'server_error',
    'partial',
    'The answer was cut; what was sent is only a part.',
  ),
  poisonRequest: entry(
    4004,
    422,
    'invalid_request_error',
    'unknown',
    'The request has crashed endpoints and is not run again.',
  ),
  endpointTimeout: entry(
    4005,
    504,
    'server_error',
    'unknown',
    'The endpoint did not answer in time.',
  ),
  endpointRefused: entry(
    4006,
    502,
    'server_error',
    'not_run',
    'The endpoint refused the request before running it.',
  ),
  retryBudgetSpent: entry(
    4007,
    503,
    'server_error',
    'not_run',
    'The endpoints refused the request and no further retry is allowed now.',
  ),
  streamVersionGone: entry(
    4008,
    503,
    'server_error',
    'not_run',
    'No endpoint of the software version that began the stream is in service.',
  ),
  streamVersionUnknown: entry(
    4009,
    503,
    'server_error',
    'not_run',
    'The software version that began the stream is not known.',
  ),
  claimUnavailable: entry(
    5001,
    503,
    'server_error',
    'not_run',
    'The log that orders such calls is out of reach.',
  ),
  outcomeUnknown: entry(
    5002,
    409,
    'server_error',
    'unknown',
    'An earlier attempt may have run; its outcome is not known yet.',
  ),
  outcomeNotKept: entry(
    5003,
    409,
    'server_error',
    'ran',
    'An earlier attempt ran; its answer was too large to keep.',
  ),
  internal: entry(
    9001,
    500,
    'server_error',
    'unknown',
    'The router failed in a way that it did not expect.',
  ),
} as const satisfies Record<string, CodeEntry>;

/** The name of a result code. */
export type CodeName = keyof typeof codes;

/** The reason why a request or an operation failed. */
export interface Refusal {
  /** The code's name in the table. */
  readonly name: CodeName;
  /** Description of this occurrence. */
  readonly detail: string;
  /** Whether the request was executed; overrides the table if more is known. */
  readonly ran: ExecutionState;
  /** Time after which a retry may succeed, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** The invalid field of the request. */
  readonly field?: string;
}

/** Optional parts of a refusal. */
export interface RefusalOptions {
  readonly detail?: string;
  readonly ran?: ExecutionState;
  readonly retryAfterMs?: number;
  readonly field?: string;
}

/**
 * Creates a refusal from its code.
 *
 * @example
 * createRefusal('budgetExhausted', { retryAfterMs: 5_000 }).ran; // 'not_run'
 */
export function createRefusal(name: CodeName, options: RefusalOptions = {}): Refusal {
  const row: CodeEntry = codes[name];
  return {
    name,
    detail: options.detail ?? row.message,
    ran: options.ran ?? row.ran,
    retryAfterMs: options.retryAfterMs,
    field: options.field,
  };
}
