/** A TCP proxy on loopback. Its open connections can go silent for good while new ones work, or be delayed. */
import { connect, createServer } from 'node:net';

export class Proxy {
  pairs = new Set();

  accepted = 0;

  server = createServer((inner) => this.accept(inner));

  constructor(targetPort, targetHost = '127.0.0.1') {
    this.targetPort = targetPort;
    this.targetHost = targetHost;
  }

  listen(port = 0, host = '127.0.0.1') {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve(this.server.address().port));
    });
  }

  accept(inner) {
    this.accepted += 1;
    const outer = connect(this.targetPort, this.targetHost);
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
    inner.pipe(outer);
    outer.pipe(inner);
  }

  /** Nothing passes on the open connections any more; none of them is closed. Returns how many there are. */
  silence() {
    this.pairs.forEach(({ inner, outer }) => {
      inner.unpipe(outer);
      outer.unpipe(inner);
      inner.pause();
      outer.pause();
    });
    return this.pairs.size;
  }

  stop() {
    this.server.close();
    this.pairs.forEach(({ inner, outer }) => {
      inner.destroy();
      outer.destroy();
    });
  }
}
