/** Callers that keep their connections: each sends its next call once it has the whole answer to the last one. */
import { headerNames } from '../../platform/names.js';
import { sleep } from './fleetCalls.js';
import { KeptConnection } from './keptConnection.js';
import { SOAK_HOST } from './soakConfig.js';

/** A call whose connection ended without a whole answer. */
export interface CutCall {
  readonly id: string;
  readonly path: string;
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
  private async useConnection(): Promise<void> {
    const connection = await KeptConnection.connect('127.0.0.1', this.port).catch(() => undefined);
    if (!connection) {
      return;
    }
    do {
      await this.call(connection);
    } while (this.isRunning && !connection.isClosed);
    connection.close();
  }

  private async call(connection: KeptConnection): Promise<void> {
    this.callCount += 1;
    const id = `call-${this.callCount}`;
    const path = this.paths[this.callCount % this.paths.length]!;
    const head = [
      `POST ${path} HTTP/1.1`,
      `host: ${SOAK_HOST}`,
      `${headerNames.callId}: ${id}`,
      `${headerNames.deadlineMs}: 3000`,
      'content-length: 4',
    ];
    const pieces = [`${head.join('\r\n')}\r\n\r\nbody`];
    const { status } = await connection.send({ pieces, pieceIntervalMs: 0, readPauseMs: 0 });
    if (status === undefined) {
      this.cutCalls.push({ id, path });
    } else {
      this.answers[status] = (this.answers[status] ?? 0) + 1;
    }
  }
}
