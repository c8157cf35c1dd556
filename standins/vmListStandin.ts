/** A stand-in for the platform's vm list, which shows changes only after a lag. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpStandin, readAll, sendJson } from './httpStandin.js';

interface Change {
  readonly at: number;
  readonly vm: string;
  readonly entry: unknown;
}

/** The list: `PUT /vms/NAME` sets an entry, `DELETE` removes it, `POST /control` sets the lag. */
export class VmListStandin extends HttpStandin {
  lagMs = 0;

  outage = false;

  private readonly changes: Change[] = [];

  private readonly shown = new Map<string, unknown>();

  /** Sets or removes an entry. */
  set(vm: string, entry: unknown): void {
    this.changes.push({ at: Date.now(), vm, entry });
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readAll(message)).toString();
    const name = decodeURIComponent(message.url?.split('/')[2] ?? '');
    if (message.url === '/control') {
      Object.assign(this, JSON.parse(body));
    } else if (message.method === 'PUT') {
      this.set(name, JSON.parse(body));
    } else if (message.method === 'DELETE') {
      this.set(name, undefined);
    }
    if (this.outage && message.method === 'GET') {
      sendJson(response, 503, { error: 'outage' });
      return;
    }
    const shown = { vms: this.getShown() };
    const etag = `"${createHash('sha256').update(JSON.stringify(shown)).digest('hex')}"`;
    if (message.headers['if-none-match'] === etag) {
      response.writeHead(304, { etag });
      response.end();
      return;
    }
    sendJson(response, 200, shown, { etag });
  }

  private getShown(): unknown[] {
    const due = Date.now() - this.lagMs;
    while (this.changes[0] && this.changes[0].at <= due) {
      const { vm, entry } = this.changes.shift()!;
      if (entry === undefined) {
        this.shown.delete(vm);
      } else {
        this.shown.set(vm, entry);
      }
    }
    return [...this.shown.values()];
  }
}
