/** Relays a chat response that is not streamed. */
import * as z from 'zod';
import type { ChatBody } from '../types/exchange.js';
import type { StoredResponse } from '../controllers/claimController.js';
import {
  checkResponseHead,
  createFailedResult,
  failAttempt,
  waitForOutcome,
  type Attempt,
  type AttemptResult,
} from './attempt.js';
import { createChatCall, checkErrorStatus } from './chatCall.js';
import { readResponseBody } from './readResponseBody.js';

const responseSchema = z.looseObject({
  id: z.string(),
  choices: z.array(z.unknown()).min(1),
  usage: z.object({ prompt_tokens: z.int(), completion_tokens: z.int() }),
});

/** Options of a buffered chat call. */
export interface BufferedChatOptions {
  readonly chat: ChatBody;
  /** Stores the outcome of a claimed call. */
  readonly recordOutcome: (response: StoredResponse) => Promise<void>;
}

/** Runs one attempt. */
export async function runBufferedChat(
  attempt: Attempt,
  options: BufferedChatOptions,
): Promise<AttemptResult> {
  const { chat } = options;
  const { exchange, slot, timers } = attempt;
  const startedAt = timers.now();
  const fields = { ...chat.fields, stream: false, max_tokens: chat.maxTokens };
  const firstByteMs = Math.max(1, exchange.deadline - startedAt);
  const call = { ...createChatCall(attempt, fields), firstByteMs };
  const sent = await attempt.client.send(call);
  if (sent.err) {
    return failAttempt(attempt, sent.val);
  }
  const response = sent.val;
  const finalResult =
    checkResponseHead(attempt, response, call) ?? (await checkErrorStatus(attempt, response));
  if (finalResult) {
    return finalResult;
  }
  const body = await readResponseBody(response);
  if (body.err) {
    return failAttempt(attempt, body.val);
  }
  const parsed = responseSchema.safeParse(tryParseJson(body.val));
  if (!parsed.success) {
    slot.release({ kind: 'failure' });
    return createFailedResult(
      'serverError',
      true,
      'endpointFailed',
      'the answer is not a chat completion',
    );
  }
  slot.release({ kind: 'success', latencyMs: timers.now() - startedAt });
  await deliver(attempt, options, parsed.data);
  return { kind: 'done' };
}

async function deliver(
  attempt: Attempt,
  options: BufferedChatOptions,
  data: z.output<typeof responseSchema>,
): Promise<void> {
  const { exchange } = attempt;
  exchange.usage = {
    promptTokens: data.usage.prompt_tokens,
    completionTokens: data.usage.completion_tokens,
  };
  const body = JSON.stringify({ ...data, id: `chatcmpl-${exchange.id}` });
  const contentType = 'application/json';
  const stored = options.recordOutcome({ status: 200, contentType, body: Buffer.from(body) });
  await exchange.storeBill('whole');
  await waitForOutcome(attempt, stored);
  const headers = { 'content-type': contentType, 'x-request-id': exchange.id };
  exchange.response.send(200, headers, body);
}

function tryParseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
