/** The gateway's configuration, endpoints and metadata of calls. */
import type {
  AvailabilityZone,
  Brand,
  Era,
  Offset,
  ServiceName,
  SoftwareVersion,
  VmId,
  WorkspaceId,
} from './ids.js';

/** The name of a route in the configuration. */
export type RouteName = Brand<string, 'RouteName'>;

/** Whether a call may run again: never, always, or as a stream that another endpoint resumes. */
export type Repeatability = 'once' | 'repeatable' | 'resumable';

/** A service with its weight in the traffic split of a route. */
export interface WeightedService {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route for the calls to one host under one path prefix. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly split: readonly WeightedService[];
  readonly isStream: boolean;
  readonly repeatability: Repeatability;
  /** Maximum number of endpoints that may run one call. */
  readonly attempts: number;
  /** Maximum duration of a call, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which a response, or the first event of a stream, has its full value, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Target for the maximum time between events of a stream, in milliseconds; 0 for none. */
  readonly eventGapTargetMs: number;
  /** Priority rank; 0 is served first. */
  readonly rank: number;
  /** Whether the route requires no key. */
  readonly isPublic: boolean;
}

/** A workspace with its keys and its prepaid total. */
export interface Workspace {
  readonly name: WorkspaceId;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Total number of tokens that the workspace may use, or `undefined` if unlimited. */
  readonly prepaidTokens: number | undefined;
  /** Takes precedence over the rank of a route. */
  readonly rank: number | undefined;
}

/** How endpoints of a service warm up. */
export interface WarmupConfig {
  /** Calls per second that a cold endpoint takes from all gateways together. */
  readonly perSecond: number;
  /** Usual duration of a warm-up; 0 if unknown. */
  readonly durationMs: number;
}

/** Configuration of a service. */
export interface ServiceConfig {
  readonly name: ServiceName;
  /** Maximum number of connections that one endpoint accepts from all clients together. */
  readonly maxConnections: number;
  /** Present if the endpoints are model engines. */
  readonly engine:
    | {
        readonly slots: number;
        readonly cacheTokens: number;
        /** Maximum number of output tokens in one event. */
        readonly tokensPerEvent: number;
      }
    | undefined;
  /** Present if cold endpoints have a limit. */
  readonly warmup?: WarmupConfig | undefined;
}

/** Limits on the size and timing of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Maximum idle time of a connection. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  /** `undefined` if no route requires a key. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
  /** Fields that could not be used and count as absent, with the reason. */
  readonly problems?: readonly string[] | undefined;
}

/** The entry of one start of one endpoint. */
export interface EndpointEntry {
  readonly id: VmId;
  /** Start time, in milliseconds since the epoch. A later start of the same id retains no state of earlier ones. */
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  /** `undefined` if it was learned from a gateway that does not read it. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  readonly state: 'ready' | 'leaving';
  /** Remaining warm-up time, in which the endpoint is slow, in milliseconds; `undefined` if the stated one is unusable. */
  readonly warmupMs: number | undefined;
  /** Fields that could not be used, with the reason. */
  readonly problems?: readonly string[] | undefined;
}

/** Where a stream began; it may go on only at endpoints of the same software version. */
export interface StreamOrigin {
  /** `undefined` if the version is unknown; then no endpoint may continue the stream. */
  readonly version: SoftwareVersion | undefined;
}

/** An entry with the offset of the store's record that it was read from. */
export interface ListedEndpoint extends EndpointEntry {
  readonly offset: Offset;
}

/** The endpoints known to a gateway that has applied every record before an offset. */
export interface EndpointListing {
  /** The era of all offsets; a gateway of an earlier version names none. */
  readonly era?: Era | undefined;
  readonly nextOffset: Offset;
  readonly endpoints: readonly ListedEndpoint[];
}

/** One part of a prompt, which endpoints may have cached. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Numbers of tokens that a call declares. */
export interface DeclaredTokens {
  readonly prompt: number;
  /** Maximum number of output tokens. */
  readonly maxOutput: number;
}

/** Metadata from the headers of a caller's call. */
export interface CallMetadata {
  readonly id: string;
  readonly host: string;
  /** SHA-256 of the caller's key, or `undefined` if it sent none. */
  readonly keyHash: string | undefined;
  /** Timeout of the caller, in milliseconds. */
  readonly timeoutMs: number | undefined;
  readonly tokens: DeclaredTokens | undefined;
  readonly promptParts: readonly PromptPart[];
  /** The caller's estimate of output tokens. */
  readonly expectedOutputTokens: number | undefined;
  /** Id of the last event that the caller received of the stream that it resumes. */
  readonly lastEventId: string | undefined;
  /** Id of the call that brought the first event of that stream; `undefined` if the caller names none. */
  readonly resumedCallId?: string | undefined;
  /** Whether the call has a body, which may be empty. */
  readonly hasBody: boolean;
  /** Headers to forward to the endpoint, alternating between name and value. */
  readonly forwardedHeaders: readonly string[];
}

/** Metadata that the gateway adds to a forwarded call. */
export interface EndpointCallMetadata {
  readonly endpoint: VmId;
  readonly workspace: WorkspaceId | undefined;
  /** Time left for the endpoint to respond, in milliseconds. */
  readonly timeoutMs: number;
  /** Urgency class, from 0 (served first) to 9. */
  readonly urgency: number | undefined;
  /** Id of the event after which the call resumes an earlier run, if it does. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the head of a response says about the calls that the endpoint takes from all gateways together. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly perSecond: number }
  /** The value can't be used; the response neither names a limit nor shows that one has ended. */
  | { readonly kind: 'malformed' };

/** Metadata from the head of an endpoint's response. */
export interface ResponseMetadata {
  readonly status: number;
  /** Whether the endpoint states that it did not run the call. */
  readonly isNotRun: boolean;
  /** Whether the response came from another endpoint than the intended one. */
  readonly isWrongEndpoint: boolean;
  /** Whether the response has the id of another call. */
  readonly isCrossed: boolean;
  /** Whether the response states the id of the call that it belongs to. */
  readonly hasCallId: boolean;
  /** Whether the response has the call's id and the endpoint's seal, and is not compressed. */
  readonly isGenuine: boolean;
  /** Whether the endpoint states that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint requests no calls from this vm, in milliseconds; `undefined` if not stated. */
  readonly retryAfterMs: number | undefined;
  readonly limit: NamedLimit;
  /** Remaining warm-up time of the endpoint, in milliseconds; `undefined` if not stated. */
  readonly warmupMs?: number | undefined;
  /** Names of headers that could not be parsed. */
  readonly malformed: readonly string[];
  /** Headers to forward to the caller, alternating between name and value. */
  readonly forwardedHeaders: readonly string[];
}

/** Decodes and encodes the headers of a platform. */
export abstract class HeaderCodec {
  /** Decodes the headers of a caller's call; an error names the invalid field. */
  abstract readCall(
    rawHeaders: readonly string[],
  ): CallMetadata | { readonly field: string; readonly detail: string };

  /** Returns whether a caller's call declares tokens, without decoding its other headers. */
  abstract declaresTokens(rawHeaders: readonly string[]): boolean;

  /** Returns the headers of a call to an endpoint, alternating between name and value. */
  abstract createEndpointHeaders(call: CallMetadata, metadata: EndpointCallMetadata): string[];

  /** Decodes the head of an endpoint's response to the call with the given id. */
  abstract readResponse(
    id: string,
    status: number,
    rawHeaders: readonly string[],
  ): ResponseMetadata;

  /** Returns the headers that tell a caller when to retry, alternating between name and value. */
  abstract createRefusalHeaders(retryAfterMs: number | undefined): string[];
}

/** Addresses, resources and limits of one process of the fleet. */
export interface DeploymentSettings {
  readonly vm: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  readonly peerAddress: Address;
  /** Peer addresses of some other vms; may be stale. */
  readonly seeds: readonly Address[];
  readonly storeAddress: Address;
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly graceMs: number;
  /** Processor cores available on the vm; a fraction if they are shared. */
  readonly cores: number;
  /** Memory of the machine, in MB. */
  readonly memoryMb: number;
  /** File descriptors of the process. */
  readonly maxFds: number;
  /** Retries of the whole fleet in a window are limited to this ratio of its calls plus `retryBurst`. */
  readonly retryRatio: number;
  readonly retryBurst: number;
  readonly retryWindowMs: number;
  /** Interval at which endpoints renew their entries, in milliseconds. */
  readonly endpointHeartbeatMs: number;
  /** Time for which calls may still reach an endpoint that announced that it is leaving, in milliseconds. */
  readonly endpointDrainMs: number;
  /** Time within which a process must detect that its connections are silent, in milliseconds. */
  readonly silenceDetectionMs: number;
  /**
   * In any second all gateways together send a cold endpoint at most its rate times `warmupOverage` plus `warmupBurst`.
   * Defaults 1.5 and 5.
   */
  readonly warmupOverage?: number | undefined;
  readonly warmupBurst?: number | undefined;
  /** Time within which an evacuation takes effect, in milliseconds. Default 5,000. */
  readonly evacuationMs?: number | undefined;
  /** Settings that could not be used and count as absent, with the reason. */
  readonly problems?: readonly string[] | undefined;
}

/** A host and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
