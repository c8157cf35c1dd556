/** The signals of a long-running process: the first stop signal starts its stop, all others change nothing. */
import type { Logger } from '../core/logging.js';
import { createDeferred } from '../core/utilities.js';

/** What a signal changes. */
export type SignalEffect = 'stopping' | 'already stopping' | 'ignored';

/** A received signal. */
export interface ReceivedSignal {
  readonly signal: NodeJS.Signals;
  /** Number of signals received so far, this one included. */
  readonly count: number;
  readonly effect: SignalEffect;
}

/** Options of the controller. */
export interface SignalControllerOptions {
  /** Signals that request a stop. Default SIGTERM, SIGINT and SIGQUIT. */
  readonly stopSignals?: readonly NodeJS.Signals[];
}

const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGQUIT'];

/** Signals that would otherwise end the process; SIGUSR1 would open Node's inspector. */
const HANDLED_SIGNALS: readonly NodeJS.Signals[] = [
  ...STOP_SIGNALS,
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGIO',
  'SIGPWR',
  'SIGXCPU',
];

/**
 * Returns what a signal changes.
 *
 * @example
 * getSignalEffect({ isStopSignal: true, isStopping: false }); // 'stopping'
 */
export function getSignalEffect({
  isStopSignal,
  isStopping,
}: {
  readonly isStopSignal: boolean;
  /** Whether an earlier signal has requested a stop. */
  readonly isStopping: boolean;
}): SignalEffect {
  if (!isStopSignal) {
    return 'ignored';
  }
  return isStopping ? 'already stopping' : 'stopping';
}

/** Handles the signals of this process. */
export class SignalController {
  private readonly stopSignals: readonly NodeJS.Signals[];

  private readonly stopRequested = createDeferred<NodeJS.Signals>();

  private stopSignal: NodeJS.Signals | undefined;

  private count = 0;

  private logger: Logger | undefined;

  /** Signals received before there was a logger. */
  private unlogged: ReceivedSignal[] = [];

  constructor({ stopSignals = STOP_SIGNALS }: SignalControllerOptions = {}) {
    this.stopSignals = stopSignals;
  }

  /**
   * Handles signals until the process ends. Handlers are never removed: without one, a repeated signal would end the
   * process during its stop.
   */
  listen(): void {
    HANDLED_SIGNALS.forEach((signal) => {
      process.on(signal, () => this.receive(signal));
    });
  }

  /** Logs signals from now on, and those received before. */
  startLogging(logger: Logger): void {
    this.logger = logger;
    this.unlogged.forEach((received) => this.log(received));
    this.unlogged = [];
  }

  /** Returns the signal that requested the stop, if any. */
  getStopSignal(): NodeJS.Signals | undefined {
    return this.stopSignal;
  }

  /** Resolves with the signal that requested the stop. */
  waitForStopSignal(): Promise<NodeJS.Signals> {
    return this.stopRequested.promise;
  }

  private receive(signal: NodeJS.Signals): void {
    this.count += 1;
    const effect = getSignalEffect({
      isStopSignal: this.stopSignals.includes(signal),
      isStopping: this.stopSignal !== undefined,
    });
    const received = { signal, count: this.count, effect };
    if (this.logger) {
      this.log(received);
    } else {
      this.unlogged.push(received);
    }
    if (effect === 'stopping') {
      this.stopSignal = signal;
      this.stopRequested.resolve(signal);
    }
  }

  private log(received: ReceivedSignal): void {
    this.logger?.info('signal received', received);
  }
}
