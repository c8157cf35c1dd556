/** Calls to endpoints and how they fail. */
import type { Result } from '../core/results.js';
import type { AvailabilityZone, ServiceName, VmId } from './ids.js';

/** Where an endpoint is and what it may do. */
export interface EndpointInfo {
  readonly vm: VmId;
  readonly url: string;
  readonly service: ServiceName;
  readonly availabilityZone: AvailabilityZone;
  /** How many requests it runs at a time. */
  readonly slots: number;
  readonly fencing: boolean;
}

/** One call to an endpoint. */
export interface EndpointCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** Uses a connection of its own, so that a failure is not one of a connection kept too long. */
  readonly hasOwnConnection: boolean;
  /** Longest wait for the head of the answer, in milliseconds; the client's default otherwise. */
  readonly firstByteMs?: number;
  readonly signal: AbortSignal;
}

/** The head of an answer and its body as it arrives. */
export interface EndpointResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Throws an `EndpointFailure` wrapped in `EndpointError` where the body breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Drops the connection. */
  readonly abort: () => void;
}

/** How a call failed. */
export type EndpointFailureKind =
  /** No connection came about: the call certainly did not run. */
  | 'unreachable'
  /** The connection broke after the call may have been sent. */
  | 'broken'
  /** Nothing came for too long. */
  | 'silent'
  /** The caller's signal ended it. */
  | 'aborted';

/** A failed call. */
export interface EndpointFailure {
  readonly kind: EndpointFailureKind;
  readonly detail: string;
}

/** Carries a failure out of a body's iteration. */
export class EndpointError extends Error {
  constructor(readonly failure: EndpointFailure) {
    super(failure.detail);
  }
}

/** Sends calls to endpoints. */
export abstract class EndpointClient {
  abstract send(call: EndpointCall): Promise<Result<EndpointResponse, EndpointFailure>>;
}
