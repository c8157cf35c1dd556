/** Implements `CallerResponse` on a response of Node's HTTP server. */
import type { ServerResponse } from 'node:http';
import { CallerResponse } from '../types/exchange.js';
import { cutResponse } from './cutResponse.js';

export class NodeResponse extends CallerResponse {
  constructor(private readonly response: ServerResponse) {
    super();
  }

  override isHeadSent(): boolean {
    return this.response.headersSent;
  }

  override send(
    status: number,
    headers: Readonly<Record<string, string>>,
    body: string | Uint8Array,
  ): void {
    if (this.response.destroyed) {
      return;
    }
    this.response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
    this.response.end(body);
  }

  override sendHead(status: number, headers: Readonly<Record<string, string>>): void {
    if (!this.response.destroyed) {
      this.response.writeHead(status, headers);
    }
  }

  override async write(chunk: string | Uint8Array): Promise<void> {
    const { response } = this;
    if (response.destroyed || response.write(chunk)) {
      return;
    }
    await new Promise<void>((resolve) => {
      const finish = () => {
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      response.on('drain', finish);
      response.on('close', finish);
    });
  }

  override end(): void {
    this.response.end();
  }

  override destroy(): void {
    cutResponse(this.response);
  }
}
