/** What the platform offers: a log, a list of vms, and their shapes. */
import type { Result } from '../core/results.js';
import type { AvailabilityZone, Offset, StreamName, VmId } from './ids.js';

/** One appended record. */
export interface LogRecord {
  readonly offset: Offset;
  readonly data: Uint8Array;
}

/** What one read returns. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that the log still keeps. */
  readonly first: Offset;
  /** The offset that the next append gets. */
  readonly head: Offset;
}

/** Why a call to the log did not succeed. */
export type LogFailure =
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  /** The call had no effect or its effect is unknown; the caller must not assume either. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** Records before `first` are gone. */
  | { readonly kind: 'trimmed'; readonly first: Offset };

/** The platform's append-only log. One subclass per kind of log service. */
export abstract class LogService {
  /** Appends one record. A failure says nothing about whether the record was stored. */
  abstract append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, LogFailure>>;

  /**
   * Reads records from an offset on, waiting up to `waitMs` for the first one.
   * Fails with `trimmed` where `from` is older than the oldest kept record.
   */
  abstract read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
  ): Promise<Result<LogPage, LogFailure>>;
}

/** A vm as the platform's list shows it, which may lag. */
export interface Vm {
  readonly vm: VmId;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of vms. One subclass per kind of platform. */
export abstract class VmList {
  /** Returns the vms that the platform lists now. */
  abstract list(): Promise<Result<readonly Vm[], string>>;
}
