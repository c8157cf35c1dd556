/** Calls that process tests make to a fleet. */
import { runMain } from '../../src/commands/main.js';
import {
  sampleKeys,
  waitUntilReady,
  startFleet,
  type Fleet,
  type FleetOptions,
} from '../../launch/fleet.js';

/** What a command printed. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** A refusal as callers read it. */
export interface ErrorResponse {
  readonly error: {
    readonly code: string;
    readonly number: number;
    readonly ran: string;
    readonly message: string;
  };
}

/** Runs a command of the command line in this process. */
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

/** Starts a fleet with the sample rules in force. */
export async function startReadyFleet(options: FleetOptions = {}): Promise<Fleet> {
  const fleet = await startFleet(options);
  await runCommand('rules', 'apply', fleet.rulesFile, '--log', fleet.logUrl);
  await Promise.all(fleet.routerUrls.map((url) => waitUntilRulesInForce(url)));
  return fleet;
}

/** Waits until a router has rules with the sample caller. */
export async function waitUntilRulesInForce(url: string): Promise<void> {
  await waitUntilReady(url);
  await waitFor(async () => {
    const response = await fetch(`${url}/v1/models`, { headers: getHeaders() });
    return response.status === 200;
  });
}

/** Waits until a condition holds; fails after a generous time. */
export async function waitFor(
  condition: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
): Promise<void> {
  const until = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > until) {
      throw new Error(`the condition did not hold within ${timeoutMs} ms`);
    }
    await delay(20);
  }
}

/** Resolves after a time. */
export function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Returns the headers of a caller. */
export function getHeaders(extra: Readonly<Record<string, string>> = {}): Record<string, string> {
  return {
    authorization: `Bearer ${sampleKeys.yard}`,
    'content-type': 'application/json',
    ...extra,
  };
}

/** Starts a streamed chat. */
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

/** Sends an order that may run once. */
export function sendOrder(url: string, key: string): Promise<Response> {
  return fetch(`${url}/services/orders/orders`, {
    method: 'POST',
    headers: getHeaders({ 'idempotency-key': key, 'x-request-deadline-ms': '5000' }),
    body: JSON.stringify({ item: key }),
  });
}

/** Returns the words of a streamed answer, and whether it came whole. */
export function parseStream(text: string): { words: string; isComplete: boolean } {
  const words = text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice(6)).choices?.[0]?.delta?.content ?? '')
    .join('');
  return { words, isComplete: text.endsWith('data: [DONE]\n\n') };
}

/** Returns how often each order ran, over every service of the fleet. */
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

/** Audits the fleet's log. */
export function runAudit(fleet: Fleet): Promise<CommandResult> {
  return runCommand('audit', '--log', fleet.logUrl);
}
