/** A TCP proxy on loopback, whose connections can be reset or go silent. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** The two connections of a client and its server. */
interface ConnectionPair {
  readonly inner: Socket;
  readonly outer: Socket;
}

/** Passes connections on to one port. */
export class TcpProxy {
  private readonly pairs = new Set<ConnectionPair>();

  private isSilent = false;

  private readonly server = createServer((inner) => this.accept(inner));

  constructor(private readonly targetPort: number) {}

  /** Starts listening and returns the port. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Resets every open connection; new ones work. */
  reset(): void {
    this.pairs.forEach(({ inner, outer }) => {
      if (inner.writableEnded) {
        // Node can't reset a connection that it is ending, and would leave it open.
        inner.destroy();
      } else {
        inner.resetAndDestroy();
      }
      outer.destroy();
    });
  }

  /** Sets whether bytes stop, on open connections and on new ones, without any being closed. */
  setSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
    this.pairs.forEach((pair) => this.connectPair(pair));
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.server.close();
    this.reset();
  }

  private accept(inner: Socket): void {
    const outer = connect(this.targetPort, '127.0.0.1');
    const pair = { inner, outer };
    this.pairs.add(pair);
    [inner, outer].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => {
        this.pairs.delete(pair);
        inner.destroy();
        outer.destroy();
      });
    });
    this.connectPair(pair);
  }

  private connectPair({ inner, outer }: ConnectionPair): void {
    if (this.isSilent) {
      inner.unpipe(outer);
      outer.unpipe(inner);
      inner.pause();
      outer.pause();
    } else {
      inner.pipe(outer);
      outer.pipe(inner);
    }
  }
}
