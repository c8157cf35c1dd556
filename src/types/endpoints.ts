/** Calls to endpoints and their failures. */
import type { Result } from '../core/results.js';
import type { AvailabilityZone, ServiceName, VmId } from './ids.js';

/** Location and capabilities of an endpoint. */
export interface EndpointInfo {
  readonly vm: VmId;
  readonly url: string;
  readonly service: ServiceName;
  readonly availabilityZone: AvailabilityZone;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly fencing: boolean;
}

/** One call to an endpoint. */
export interface EndpointCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** Whether the call gets a new connection, so that it can't fail because of a stale keep-alive connection. */
  readonly hasOwnConnection: boolean;
  /** Maximum wait for the head of the response, in milliseconds; defaults to the client's limit. */
  readonly firstByteMs?: number;
  readonly signal: AbortSignal;
}

/** The head of a response and its streamed body. */
export interface EndpointResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Throws an `EndpointError` if the body is not received completely. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Aborts the call and closes its connection. */
  readonly abort: () => void;
}

/** The kind of failure of a call. */
export type EndpointFailureKind =
  /** No connection was established, so the call certainly did not run. */
  | 'unreachable'
  /** The connection broke after the call may have been sent. */
  | 'broken'
  /** No data arrived within the time limit. */
  | 'silent'
  /** The signal of the call was aborted. */
  | 'aborted';

/** A failed call. */
export interface EndpointFailure {
  readonly kind: EndpointFailureKind;
  readonly detail: string;
}

/** Thrown by the iteration over a body; carries the failure. */
export class EndpointError extends Error {
  constructor(readonly failure: EndpointFailure) {
    super(failure.detail);
  }
}

/** Sends calls to endpoints. */
export abstract class EndpointClient {
  abstract send(call: EndpointCall): Promise<Result<EndpointResponse, EndpointFailure>>;
}
