/** Validates the path and the body of a request. */
import { Err, Ok, type Result } from '../core/results.js';
import * as z from 'zod';
import { Filter, type Exchange, type FilterResult, type Route } from '../types/exchange.js';
import { createRefusal, type Refusal } from '../core/codes.js';

/** Options of the filter. */
export interface ValidateOptions {
  /** Maximum number of output tokens if the caller sets none. */
  readonly defaultMaxTokens: number;
}

const CHAT_PATH = '/v1/chat/completions';
const SERVICE_PATH = /^\/services\/([\w.-]+)(\/.*)?$/;

const maxTokensSchema = z.int().min(1).max(1_000_000).nullish();

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: maxTokensSchema,
  max_completion_tokens: maxTokensSchema,
  n: z.literal(1, { error: 'only 1 is supported' }).nullish(),
});

/** Sets `route`. */
export class Validate extends Filter {
  override readonly name = 'validate';

  constructor(private readonly options: ValidateOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const route = this.getRoute(exchange);
    if (route.err) {
      return route;
    }
    exchange.route = route.val;
    return next();
  }

  private getRoute({ request }: Exchange): Result<Route, Refusal> {
    if (request.path === CHAT_PATH && request.method === 'POST') {
      return this.parseChat(request.body);
    }
    const match = SERVICE_PATH.exec(request.path);
    if (match) {
      return Ok({ kind: 'plain', service: match[1]!, path: match[2] ?? '/' });
    }
    const detail = `no such path or method: ${request.method} ${request.path}`;
    return Err(createRefusal('unknownRoute', { detail }));
  }

  private parseChat(body: Uint8Array): Result<Route, Refusal> {
    const document = tryParseJson(body);
    if (document === undefined) {
      return Err(createRefusal('invalidJson'));
    }
    const parsed = chatSchema.safeParse(document);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      const field = issue?.path.join('.') ?? '';
      return Err(createRefusal('invalidRequest', { field, detail: `${field}: ${issue?.message}` }));
    }
    const { data } = parsed;
    const chat = {
      model: data.model,
      messages: data.messages,
      stream: data.stream === true,
      includeUsage: data.stream_options?.include_usage === true,
      maxTokens: data.max_completion_tokens ?? data.max_tokens ?? this.options.defaultMaxTokens,
      fields: data,
    };
    return Ok({ kind: 'chat', chat });
  }
}

function tryParseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
