/** Derives the bounds on untrusted callers from the machine of a process. */
import { MemoryBudget } from '../core/memoryBudget.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { ChunkPacer } from './chunkPacer.js';

/** Memory of a machine whose settings do not state it, in MB. */
export const DEFAULT_MEMORY_MB = 512;
/** File descriptors of a process whose settings do not state them. */
export const DEFAULT_MAX_FDS = 4_096;

/** The reason why a limit ended a request or a connection; a metric label. */
export type CallerLimitReason =
  | 'bodyMemory'
  | 'bodyTooLarge'
  | 'bodyOverhead'
  | 'bodyTimeout'
  | 'connections'
  | 'pipelined'
  | 'linger';

/** The bounds of one process, shared by its listeners. */
export interface CallerBounds {
  /** For the bodies of requests, while they are read and while the requests are in progress. */
  readonly memory: MemoryBudget;
  readonly pacer: ChunkPacer;
  readonly callerConnections: number;
  readonly peerConnections: number;
  readonly readinessConnections: number;
  readonly count: (reason: CallerLimitReason) => void;
}

/** Options of the bounds. */
export interface CallerBoundsOptions {
  readonly memoryMb: number;
  readonly maxFds: number;
  readonly timers: TimerService;
  readonly metrics: Pick<Metrics, 'callerLimits'>;
}

const BYTES_PER_MB = 1_048_576;
// The process takes about 90 MB without calls, and buffers that have been replaced await garbage collection.
const BODY_MEMORY_RATIO = 0.15;
// Fits the prompts of ordinary calls.
const SMALL_BODY_BYTES = 65_536;
const SMALL_RESERVE_RATIO = 0.125;
// The platform keeps these for files.
const RESERVED_FDS = 200;
// The rest is for connections to endpoints, the store and peers.
const CALLER_FD_RATIO = 0.6;
const PEER_FD_RATIO = 0.1;
const READINESS_FD_RATIO = 0.05;
const CONNECTIONS_MIN = 8;

/**
 * Creates the bounds of a process.
 *
 * @example
 * createCallerBounds({ memoryMb: 210, maxFds: 2_212, timers, metrics }).callerConnections; // 1207
 */
export function createCallerBounds(options: CallerBoundsOptions): CallerBounds {
  const { memoryMb, maxFds, timers, metrics } = options;
  const limitBytes = memoryMb * BYTES_PER_MB * BODY_MEMORY_RATIO;
  const getConnections = (ratio: number) =>
    Math.max(CONNECTIONS_MIN, Math.floor((maxFds - RESERVED_FDS) * ratio));
  return {
    memory: new MemoryBudget({
      limitBytes,
      timers,
      smallBytes: SMALL_BODY_BYTES,
      smallReserveBytes: limitBytes * SMALL_RESERVE_RATIO,
    }),
    pacer: new ChunkPacer(),
    callerConnections: getConnections(CALLER_FD_RATIO),
    peerConnections: getConnections(PEER_FD_RATIO),
    readinessConnections: getConnections(READINESS_FD_RATIO),
    count: (reason) => metrics.callerLimits.inc({ reason }),
  };
}
