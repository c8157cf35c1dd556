/** What a gateway serves: its configuration, its endpoints and the calls that pass through it. */
import type { AvailabilityZone, Brand, ServiceName, VmId, WorkspaceId } from './ids.js';

/** A route as the configuration names it. */
export type RouteName = Brand<string, 'RouteName'>;

/** Whether a call may run again: never, freely, or as a stream that another endpoint may continue. */
export type Repeatability = 'once' | 'repeatable' | 'resumable';

/** A service with its part of a route's calls. */
export interface WeightedService {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Calls of one host under one path prefix. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly split: readonly WeightedService[];
  readonly isStream: boolean;
  readonly repeatability: Repeatability;
  /** The most endpoints that may run one call. */
  readonly attempts: number;
  /** The longest that a call is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** An answer, or the first event of a stream, within this time has its full worth, in milliseconds. */
  readonly latencyTargetMs: number;
  /** The longest pause between events of an answer in time, in milliseconds; 0 where there is none. */
  readonly eventGapTargetMs: number;
  /** 0 goes first. */
  readonly rank: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** A workspace with its keys and its prepaid total. */
export interface Workspace {
  readonly name: WorkspaceId;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** All tokens that the workspace may use, or `undefined` without a limit. */
  readonly prepaidTokens: number | undefined;
  /** Goes before the rank of a route. */
  readonly rank: number | undefined;
}

/** What a gateway knows of a service. */
export interface ServiceConfig {
  readonly name: ServiceName;
  /** The most connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Present where the endpoints are model engines. */
  readonly engine:
    | {
        readonly slots: number;
        readonly cacheTokens: number;
        /** The most output tokens in one event. */
        readonly tokensPerEvent: number;
      }
    | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay idle. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  /** `undefined` where callers need no keys at all. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
}

/** One start of one endpoint. */
export interface EndpointEntry {
  readonly id: VmId;
  /** When it started, in milliseconds since the epoch; a later start of the same id knows nothing of before. */
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** How much longer it stays slow after its start, in milliseconds. */
  readonly warmupMs: number;
}

/** One part of a prompt, which endpoints may have cached. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens that a call declares. */
export interface DeclaredTokens {
  readonly prompt: number;
  /** The most that it may generate. */
  readonly maxOutput: number;
}

/** What the headers of a call say to the gateway. */
export interface CallMetadata {
  readonly id: string;
  readonly host: string;
  /** SHA-256 of the caller's key, or `undefined` without one. */
  readonly keyHash: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly timeoutMs: number | undefined;
  readonly tokens: DeclaredTokens | undefined;
  readonly promptParts: readonly PromptPart[];
  /** The caller's estimate of output tokens. */
  readonly expectedOutputTokens: number | undefined;
  /** The last event that the caller has of a stream that it continues. */
  readonly lastEventId: string | undefined;
  /** Whether the call has a body, which may be empty. */
  readonly hasBody: boolean;
  /** Headers to pass on, as name and value in turn. */
  readonly forwardedHeaders: readonly string[];
}

/** What the gateway adds to a call that it passes on. */
export interface EndpointCallMetadata {
  readonly endpoint: VmId;
  readonly workspace: WorkspaceId | undefined;
  /** How long the endpoint may take, in milliseconds. */
  readonly timeoutMs: number;
  /** 0 goes first, 9 last. */
  readonly urgency: number | undefined;
  /** Set where another run is continued after this event. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the head of an endpoint's answer says. */
export interface ResponseMetadata {
  readonly status: number;
  /** Whether the endpoint says that it did not run the call. */
  readonly isNotRun: boolean;
  /** Whether the answer came from another endpoint than the one meant. */
  readonly isWrongEndpoint: boolean;
  /** Whether the answer names the call that it belongs to, and that is another one. */
  readonly isCrossed: boolean;
  /** Whether the endpoint signed the answer as its own, in the encoding that was asked for. */
  readonly isGenuine: boolean;
  /** Whether the endpoint says that it leaves. */
  readonly isLeaving: boolean;
  /** How long the endpoint wants no call of this vm, in milliseconds; `undefined` where it does not say. */
  readonly retryAfterMs: number | undefined;
  /** Headers that could not be read, by name. */
  readonly malformed: readonly string[];
  /** Headers to pass back, as name and value in turn. */
  readonly forwardedHeaders: readonly string[];
}

/** Reads and writes the headers of a platform. */
export abstract class HeaderCodec {
  /** Reads the head of a caller's call; fails with the field at fault. */
  abstract readCall(
    rawHeaders: readonly string[],
  ): CallMetadata | { readonly field: string; readonly detail: string };

  /** Returns the headers of a call to an endpoint, as name and value in turn. */
  abstract createEndpointHeaders(call: CallMetadata, facts: EndpointCallMetadata): string[];

  /** Reads the head of an endpoint's answer to the call with an id. */
  abstract readResponse(
    id: string,
    status: number,
    rawHeaders: readonly string[],
  ): ResponseMetadata;

  /** Returns the headers that tell a caller when to come back, as name and value in turn. */
  abstract createRefusalHeaders(retryAfterMs: number | undefined): string[];
}

/** Where one process of the fleet runs and what the platform grants it. */
export interface DeploymentSettings {
  readonly vm: VmId;
  readonly availabilityZone: AvailabilityZone;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  readonly peerAddress: Address;
  /** Peer addresses of some other vms, which may be stale. */
  readonly seeds: readonly Address[];
  readonly storeAddress: Address;
  /** How long a stopping process may take, in milliseconds. */
  readonly graceMs: number;
  /** Processor cores that the vm grants; parts of one where it shares them. */
  readonly cores: number;
  /** Retries are limited to a share of the calls in a window plus a reserve, over the whole fleet. */
  readonly retryRatio: number;
  readonly retryBurst: number;
  readonly retryWindowMs: number;
  /** How long after an endpoint said that it leaves calls may still reach it, in milliseconds. */
  readonly endpointDrainMs: number;
  /** How long a process may go without noticing that its connections are silent, in milliseconds. */
  readonly silenceDetectionMs: number;
}

/** A host and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
