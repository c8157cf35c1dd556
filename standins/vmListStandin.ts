/** A stand-in for the platform's vm list, in which a change becomes visible after a lag. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpStandin, readMessageBody, sendJson } from './httpStandin.js';

interface PendingChange {
  readonly changedAt: number;
  readonly vm: string;
  readonly entry: unknown;
}

/** The list: `PUT /vms/NAME` sets an entry, `DELETE` removes it, `POST /control` sets the lag and outages. */
export class VmListStandin extends HttpStandin {
  lagMs = 0;

  outage = false;

  private readonly pendingChanges: PendingChange[] = [];

  private readonly visibleEntries = new Map<string, unknown>();

  /** Sets an entry, or removes it if `entry` is undefined. */
  setEntry(vm: string, entry: unknown): void {
    this.pendingChanges.push({ changedAt: Date.now(), vm, entry });
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readMessageBody(message)).toString();
    const name = decodeURIComponent(message.url?.split('/')[2] ?? '');
    if (message.url === '/control') {
      Object.assign(this, JSON.parse(body));
    } else if (message.method === 'PUT') {
      this.setEntry(name, JSON.parse(body));
    } else if (message.method === 'DELETE') {
      this.setEntry(name, undefined);
    }
    if (this.outage && message.method === 'GET') {
      sendJson(response, 503, { error: 'outage' });
      return;
    }
    const list = { vms: this.getVisibleEntries() };
    const etag = `"${createHash('sha256').update(JSON.stringify(list)).digest('hex')}"`;
    if (message.headers['if-none-match'] === etag) {
      response.writeHead(304, { etag });
      response.end();
      return;
    }
    sendJson(response, 200, list, { etag });
  }

  private getVisibleEntries(): unknown[] {
    const cutoff = Date.now() - this.lagMs;
    while (this.pendingChanges[0] && this.pendingChanges[0].changedAt <= cutoff) {
      const { vm, entry } = this.pendingChanges.shift()!;
      if (entry === undefined) {
        this.visibleEntries.delete(vm);
      } else {
        this.visibleEntries.set(vm, entry);
      }
    }
    return [...this.visibleEntries.values()];
  }
}
