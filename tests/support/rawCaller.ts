/** A caller on a TCP socket, which decides itself when it sends the next call on a connection. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import type { TestContext } from 'node:test';
import { CALLER_KEY, HOST } from './gatewayFleet.js';

/** One connection of a caller. It stays open after the gateway has closed its side. */
export class RawCaller {
  /** Everything received so far. */
  received = '';

  isClosedByGateway = false;

  /** Whether the connection ended with a reset, not with an orderly close. */
  isReset = false;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString('latin1');
    });
    socket.on('end', () => {
      this.isClosedByGateway = true;
    });
    socket.on('close', () => {
      this.isClosedByGateway = true;
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      this.isReset ||= code === 'ECONNRESET';
    });
  }

  /** Connects to the gateway; the connection ends with the test. */
  static async connect(context: TestContext, port: number): Promise<RawCaller> {
    const socket = connect({ port, host: '127.0.0.1', noDelay: true, allowHalfOpen: true });
    await once(socket, 'connect');
    context.after(() => socket.destroy());
    return new RawCaller(socket);
  }

  /** Sends the head of a call and the start of its body, by default all of it. */
  send(path: string, id: string, body = 'body', sentBody = body, version = 'HTTP/1.1'): void {
    const head = [
      `POST ${path} ${version}`,
      `host: ${HOST}`,
      `shallotrock-attempt-id: ${id}`,
      `shallotrock-credential: ${CALLER_KEY}`,
      `content-length: ${body.length}`,
    ];
    this.write(`${head.join('\r\n')}\r\n\r\n${sentBody}`);
  }

  /** Sends text, such as the rest of a body. */
  write(text: string): void {
    this.socket.write(text);
  }

  /** Stops reading, so that the gateway's responses wait in its buffers. */
  pause(): void {
    this.socket.pause();
  }

  /** Reads on. */
  resume(): void {
    this.socket.resume();
  }

  /** Closes the connection. */
  disconnect(): void {
    this.socket.destroy();
  }
}
