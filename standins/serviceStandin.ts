/** A stand-in for a plain service: takes orders and counts how often each call ran. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpStandin, readMessageBody, sendJson, sleep } from './httpStandin.js';

export class ServiceStandin extends HttpStandin {
  /** Number of runs of each call, by its idempotency key or else by the request id that the router set. */
  readonly runCounts = new Map<string, number>();

  /** Delay between the effect of an order and its response, in milliseconds. */
  slowMs = 0;

  /** Number of next orders that take effect but whose connection is closed without a response. */
  loseAnswers = 0;

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readMessageBody(message)).toString();
    const [path] = (message.url ?? '/').split('?');
    if (path === '/control') {
      Object.assign(this, JSON.parse(body));
      sendJson(response, 200, {});
      return;
    }
    if (message.method === 'POST' && path === '/orders') {
      await this.placeOrder(message, body, response);
      return;
    }
    if (message.method === 'GET' && path === '/orders') {
      sendJson(response, 200, Object.fromEntries(this.runCounts));
      return;
    }
    if (message.method === 'GET' && path === '/stock') {
      sendJson(response, 200, { poles: 12, rolls: 7 });
      return;
    }
    sendJson(response, 404, { error: 'no such call' });
  }

  private async placeOrder(
    message: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    const key = String(message.headers['idempotency-key'] ?? message.headers['x-request-id']);
    this.runCounts.set(key, (this.runCounts.get(key) ?? 0) + 1);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      response.destroy();
      return;
    }
    await sleep(this.slowMs);
    sendJson(response, 201, { order: this.runCounts.size, item: JSON.parse(body || '{}') });
  }
}
