/** Checks whether an endpoint accepts connections. */
import { connect } from 'node:net';
import type { TimerService } from '../core/timers.js';
import type { Address } from '../types/gateway.js';

/** A check of endpoints. */
export abstract class EndpointProbe {
  /** Returns whether the address accepts a connection. */
  abstract isListening(address: Address): Promise<boolean>;
}

const CONNECT_TIMEOUT_MS = 400;

/** Opens a TCP connection and closes it. */
export class TcpEndpointProbe extends EndpointProbe {
  constructor(private readonly timers: TimerService) {
    super();
  }

  override isListening({ host, port }: Address): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const cancelTimeout = this.timers.subscribe(CONNECT_TIMEOUT_MS, () => socket.destroy());
      let isListening = false;
      socket.on('connect', () => {
        isListening = true;
        socket.destroy();
      });
      // The reason is of no interest: `close` follows every error.
      socket.on('error', () => {});
      socket.on('close', () => {
        cancelTimeout();
        resolve(isListening);
      });
    });
  }
}
