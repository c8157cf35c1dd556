/** One kept connection of a caller that sends the next request as soon as it has the whole answer to the last one. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { createDeferred } from '../../src/core/utilities.js';

/** A request as a sequence of pieces of bytes. */
export interface PieceByPieceRequest {
  readonly pieces: readonly string[];
  /** Between two pieces. */
  readonly pieceIntervalMs: number;
  /** How long the caller reads nothing after the first bytes of the answer. */
  readonly readPauseMs: number;
}

/** What the caller saw of one request. */
export interface Answer {
  /** `undefined` if the connection ended before a whole answer. */
  readonly status: number | undefined;
  readonly receivedBytes: number;
  /** When the last byte of the request was sent; `undefined` if the connection ended before. */
  readonly sentAt: number | undefined;
  readonly endedAt: number;
}

const HEAD_END = '\r\n\r\n';
const CONTINUE_HEAD = `HTTP/1.1 100 Continue${HEAD_END}`;
const STREAM_END = '0\r\n\r\n';

/** A connection to a gateway. */
export class KeptConnection {
  /** Whether the gateway has closed its side or announced that it will. */
  isClosed = false;

  private head: string | undefined;

  private received = '';

  private bodyBytes = 0;

  private bodyTail = '';

  private onChange: () => void = () => {};

  private readPauseMs = 0;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (bytes: Buffer) => this.receive(bytes.toString('latin1')));
    socket.on('error', () => {});
    ['end', 'close'].forEach((name) =>
      socket.on(name, () => {
        this.isClosed = true;
        socket.destroy();
        this.onChange();
      }),
    );
  }

  /** Connects; rejects if nobody listens. */
  static async connect(host: string, port: number): Promise<KeptConnection> {
    const socket = connect({ host, port, noDelay: true });
    await once(socket, 'connect');
    return new KeptConnection(socket);
  }

  /** Sends a request and reads its answer. */
  async send(request: PieceByPieceRequest): Promise<Answer> {
    this.head = undefined;
    this.received = '';
    this.bodyBytes = 0;
    this.bodyTail = '';
    this.readPauseMs = request.readPauseMs;
    const ended = createDeferred<void>();
    this.onChange = () => {
      if (this.socket.destroyed || this.isAnswered()) {
        ended.resolve();
      }
    };
    const sentAt = await this.sendPieces(request);
    this.onChange();
    await ended.promise;
    const status = this.isAnswered() ? Number(this.head!.slice(9, 12)) : undefined;
    // The rest of a request that was answered early would be read as the next one.
    this.isClosed ||= sentAt === undefined || /\r\nconnection: close/i.test(this.head ?? '');
    return { status, receivedBytes: this.bodyBytes, sentAt, endedAt: Date.now() };
  }

  /** Closes the connection. */
  close(): void {
    this.isClosed = true;
    this.socket.destroy();
  }

  private async sendPieces(request: PieceByPieceRequest): Promise<number | undefined> {
    const { pieces, pieceIntervalMs } = request;
    for (const [index, piece] of pieces.entries()) {
      if (index > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, pieceIntervalMs);
        });
      }
      if (this.socket.destroyed || this.isAnswered()) {
        return undefined;
      }
      this.socket.write(piece, 'latin1');
    }
    return Date.now();
  }

  private receive(text: string): void {
    if (this.head === undefined) {
      this.received += text;
      if (this.received.startsWith(CONTINUE_HEAD)) {
        this.received = this.received.slice(CONTINUE_HEAD.length);
      }
      const end = this.received.indexOf(HEAD_END);
      if (end === -1) {
        return;
      }
      this.head = this.received.slice(0, end);
      this.receiveBody(this.received.slice(end + HEAD_END.length));
      this.pauseReading();
    } else {
      this.receiveBody(text);
    }
    this.onChange();
  }

  private receiveBody(text: string): void {
    this.bodyBytes += text.length;
    this.bodyTail = (this.bodyTail + text).slice(-STREAM_END.length);
  }

  private pauseReading(): void {
    if (this.readPauseMs > 0) {
      this.socket.pause();
      const timer = setTimeout(() => this.socket.resume(), this.readPauseMs);
      this.socket.once('close', () => clearTimeout(timer));
    }
  }

  private isAnswered(): boolean {
    if (this.head === undefined) {
      return false;
    }
    const length = /\r\ncontent-length: (\d+)/i.exec(this.head)?.[1];
    return length === undefined ? this.bodyTail === STREAM_END : this.bodyBytes === Number(length);
  }
}
