/** Helpers that process tests use to call a fleet. */
import { runMain } from '../../src/commands/main.js';
import {
  sampleKeys,
  waitUntilReady,
  startFleet,
  type Fleet,
  type FleetOptions,
} from '../../launch/fleet.js';

/** The exit code and output of a command. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** The error body that callers receive. */
export interface ErrorResponse {
  readonly error: {
    readonly code: string;
    readonly number: number;
    readonly ran: string;
    readonly message: string;
  };
}

/** Runs a CLI command in this process. */
export async function runCommand(...args: string[]): Promise<CommandResult> {
  let out = '';
  let error = '';
  const code = await runMain(args, {
    out: (text) => {
      out += `${text}\n`;
    },
    error: (text) => {
      error += `${text}\n`;
    },
    isTerminal: false,
  });
  return { code, out, error };
}

/** Starts a fleet and waits until the sample rules are in force. */
export async function startReadyFleet(options: FleetOptions = {}): Promise<Fleet> {
  const fleet = await startFleet(options);
  await runCommand('rules', 'apply', fleet.rulesFile, '--log', fleet.logUrl);
  await Promise.all(fleet.routerUrls.map((url) => waitUntilRulesActive(url)));
  return fleet;
}

/** Waits until a router is ready and accepts the sample API key. */
export async function waitUntilRulesActive(url: string): Promise<void> {
  await waitUntilReady(url);
  await waitFor(async () => {
    const response = await fetch(`${url}/v1/models`, { headers: getHeaders() });
    return response.status === 200;
  });
}

/** Polls a condition until it holds; throws after the timeout. */
export async function waitFor(
  condition: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
): Promise<void> {
  const until = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > until) {
      throw new Error(`condition not met within ${timeoutMs} ms`);
    }
    await sleep(20);
  }
}

export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Returns the request headers of the sample caller. */
export function getHeaders(extra: Readonly<Record<string, string>> = {}): Record<string, string> {
  return {
    authorization: `Bearer ${sampleKeys.yard}`,
    'content-type': 'application/json',
    ...extra,
  };
}

/** Starts a streamed chat request. */
export function startChat(
  url: string,
  prompt: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: getHeaders(headers),
    body: JSON.stringify({
      model: 'quill-small',
      stream: true,
      max_tokens: 200,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
}

/** Sends an order, which may run at most once. */
export function sendOrder(url: string, key: string): Promise<Response> {
  return fetch(`${url}/services/orders/orders`, {
    method: 'POST',
    headers: getHeaders({ 'idempotency-key': key, 'x-request-deadline-ms': '5000' }),
    body: JSON.stringify({ item: key }),
  });
}

/** Sends an order to the routers in turn until one of them completes it. */
export async function sendOrderUntilCreated(key: string, urls: readonly string[]): Promise<void> {
  for (let number = 0; number < 100; number += 1) {
    const response = await sendOrder(urls[number % urls.length]!, key).catch(() => undefined);
    if (response?.status === 201) {
      return;
    }
    await sleep(200);
  }
  throw new Error(`order ${key} got no 201 response in 100 attempts`);
}

/** Returns the words of a streamed response, and whether the stream is complete. */
export function parseStream(text: string): { words: string; isComplete: boolean } {
  const words = text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice(6)).choices?.[0]?.delta?.content ?? '')
    .join('');
  return { words, isComplete: text.endsWith('data: [DONE]\n\n') };
}

/** Returns how often each order ran, summed over all services of the fleet. */
export async function getOrderRunCounts(fleet: Fleet): Promise<Record<string, number>> {
  const runs: Record<string, number> = {};
  await Promise.all(
    fleet.services.map(async ({ port }) => {
      const response = await fetch(`http://127.0.0.1:${port}/orders`);
      Object.entries((await response.json()) as Record<string, number>).forEach(([key, count]) => {
        runs[key] = (runs[key] ?? 0) + count;
      });
    }),
  );
  return runs;
}

/** Runs the audit command on the fleet's log. */
export function runAudit(fleet: Fleet): Promise<CommandResult> {
  return runCommand('audit', '--log', fleet.logUrl);
}
