/** Callers that keep their connections: each sends its next call once it has the whole answer to the last one. */
import { connect } from 'node:net';
import { sleep } from './fleetCalls.js';
import { HOST } from './gatewayFleet.js';

/** A call whose connection ended without a whole answer. */
export interface CutCall {
  readonly id: string;
  readonly path: string;
  readonly received: string;
}

const RECONNECT_MS = 20;

/** Callers with one kept connection each, which is replaced when it ends. */
export class KeptConnections {
  /** Number of whole answers, by status. */
  readonly answers: Record<string, number> = {};

  readonly cutCalls: CutCall[] = [];

  private isRunning = true;

  private callCount = 0;

  private readonly callers: readonly Promise<void>[];

  constructor(
    private readonly port: number,
    private readonly paths: readonly string[],
    callerCount: number,
  ) {
    this.callers = Array.from({ length: callerCount }, async () => {
      while (this.isRunning) {
        await this.useConnection();
        await sleep(RECONNECT_MS);
      }
    });
  }

  /** Sends no further calls; resolves when every call has ended. */
  async stop(): Promise<void> {
    this.isRunning = false;
    await Promise.all(this.callers);
  }

  /** Sends calls on one connection; resolves when it has ended. */
  private useConnection(): Promise<void> {
    return new Promise((resolve) => {
      const socket = connect({ port: this.port, host: '127.0.0.1', noDelay: true });
      let call: CutCall | undefined;
      const send = () => {
        this.callCount += 1;
        const path = this.paths[this.callCount % this.paths.length]!;
        call = { id: `call-${this.callCount}`, path, received: '' };
        const head = [
          `POST ${path} HTTP/1.1`,
          `host: ${HOST}`,
          `shallotrock-attempt-id: ${call.id}`,
          'shallotrock-deadline-ms: 3000',
          'content-length: 4',
        ];
        socket.write(`${head.join('\r\n')}\r\n\r\nbody`);
      };
      socket.on('connect', send);
      socket.on('data', (bytes: Buffer) => {
        if (!call) {
          return;
        }
        call = { ...call, received: call.received + bytes.toString('latin1') };
        if (!isWholeAnswer(call.received)) {
          return;
        }
        const status = call.received.slice(9, 12);
        this.answers[status] = (this.answers[status] ?? 0) + 1;
        const isClosing = /\r\nconnection: close/i.test(call.received);
        call = undefined;
        if (isClosing || !this.isRunning) {
          socket.end();
        } else {
          send();
        }
      });
      socket.on('error', () => {});
      socket.on('close', () => {
        if (call) {
          this.cutCalls.push(call);
        }
        resolve();
      });
    });
  }
}

function isWholeAnswer(received: string): boolean {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return false;
  }
  const length = /content-length: (\d+)/i.exec(received.slice(0, headEnd))?.[1];
  return length === undefined
    ? received.endsWith('0\r\n\r\n')
    : received.length >= headEnd + 4 + Number(length);
}
