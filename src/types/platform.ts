/** The services of the platform: a log and a list of vms. */
import type { Result } from '../core/results.js';
import type { AvailabilityZone, Offset, StreamName, VmId } from './ids.js';

/** One appended record. */
export interface LogRecord {
  readonly offset: Offset;
  readonly data: Uint8Array;
}

/** The result of one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that the log retains. */
  readonly first: Offset;
  /** The offset of the next append. */
  readonly head: Offset;
}

/** The reason why a call to the log failed. */
export type LogFailure =
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  /** The call had no effect or its effect is unknown; the caller must not assume either. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** Records before `first` have been trimmed. */
  | { readonly kind: 'trimmed'; readonly first: Offset };

/** The platform's append-only log. One subclass per kind of log service. */
export abstract class LogService {
  /** Appends one record. After a failure, it is unknown whether the record was stored. */
  abstract append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, LogFailure>>;

  /**
   * Reads records from an offset on, waiting up to `waitMs` for the first one.
   * Fails with `trimmed` if `from` is older than the oldest retained record.
   */
  abstract read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
  ): Promise<Result<LogPage, LogFailure>>;
}

/** A vm in the platform's list, which may be stale. */
export interface Vm {
  readonly vm: VmId;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of vms. One subclass per kind of platform. */
export abstract class VmList {
  /** Returns the vms currently listed. */
  abstract list(): Promise<Result<readonly Vm[], string>>;
}
