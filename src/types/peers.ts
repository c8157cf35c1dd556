/** The messages between peers (routers or gateways), carried by JSON-RPC 2.0. */
import type { CodeName } from '../core/codes.js';
import type { RotationAdvice, RotationState } from '../routing/zoneRotation.js';
import type { EndpointListing } from './gateway.js';
import type { AvailabilityZone, BudgetId, Era, Incarnation, RulesVersion, VmId } from './ids.js';
import type { AnswerCounts, CrashedCall, CrashId, Feature, PoisonPattern } from './poison.js';
import type { RouteName } from './gateway.js';
import type { EditEntry } from './records.js';

/** A request body, with the number of crashes of endpoints on which it was in flight. */
export interface Suspect {
  readonly digest: string;
  readonly deaths: number;
}

/** State that peers exchange with every probe. */
export interface ProbeMessage {
  readonly vm: VmId;
  readonly rulesVersion: RulesVersion;
  /** Endpoints that announced that they are leaving. */
  readonly leaving: readonly VmId[];
  readonly suspects: readonly Suspect[];
}

/** Requests tokens; a duplicate id gets the same response. */
export interface TransferRequest {
  readonly transfer: string;
  readonly budget: BudgetId;
  /** Minimum number of tokens needed; 0 for a refill. */
  readonly need: number;
  readonly want: number;
}

/** Gives tokens to a home; a duplicate id is credited once. */
export interface GiveRequest {
  readonly transfer: string;
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** The number of tokens transferred. */
export interface TransferResponse {
  readonly tokens: number;
}

/** Requests a hold at a home; a duplicate id gets the same response. */
export interface PeerHoldRequest {
  readonly hold: string;
  readonly budget: BudgetId;
  readonly tokens: number;
  /** Maximum time that the home may wait for the store, in milliseconds. */
  readonly waitMs: number;
}

/** The result of a hold request. */
export type PeerHoldResponse =
  | { readonly kind: 'held' }
  | {
      readonly kind: 'refused';
      readonly name: CodeName;
      readonly detail?: string | undefined;
      readonly retryAfterMs?: number | undefined;
    }
  /** The peer can't decide, or is stopping. */
  | { readonly kind: 'unavailable' };

/** Settles a hold at a home with the tokens used. A duplicate has no effect. */
export interface PeerSettlement {
  readonly hold: string;
  readonly used: number;
}

/** Settles several holds at a home. Duplicates have no effect. */
export interface PeerSettlements {
  readonly settlements: readonly PeerSettlement[];
}

/** The ids of the holds that the home does not know. */
export interface PeerSettlementsResponse {
  readonly unknown: readonly string[];
}

/**
 * One advance as the vm that holds it knows it. `used`, `returned`, `demand` and `granted` are sums since the advance was
 * opened, so that a later report contains every earlier one. Amounts are in tokens.
 */
export interface AdvanceEntry {
  /** Unique among all processes. */
  readonly advance: string;
  /** The vm that holds it. */
  readonly vm: VmId;
  readonly budget: BudgetId;
  /** The incarnation of the home that granted it; missing until the home has answered. */
  readonly homeRun?: Incarnation | undefined;
  readonly sequence: number;
  readonly granted: number;
  readonly used: number;
  readonly returned: number;
  /** What calls held, corrected when they used less. */
  readonly demand: number;
  /** What is neither used, returned nor held for a call. */
  readonly free: number;
  /** The rate at which all calls of the vm need tokens, with an advance or without. */
  readonly ratePerSecond: number;
  /** The same over all budgets. */
  readonly vmRatePerSecond: number;
  /** Whether the vm takes no further tokens. */
  readonly isClosed: boolean;
}

/** Reports a vm's advances to the home that granted them. */
export interface AdvanceReport {
  readonly entries: readonly AdvanceEntry[];
}

/** One advance as its home knows it. */
export interface AdvanceState {
  readonly advance: string;
  /** Whether this process granted the advance. */
  readonly isKnown: boolean;
  /** The sum of all grants. */
  readonly granted: number;
  /** How many idle tokens the vm should keep; it returns the rest. */
  readonly limit: number;
}

/** Calls idle tokens of an advance back; the vm reports all above `limit` as returned. */
export interface AdvanceRecall {
  readonly advance: string;
  readonly limit: number;
}

/** The response to a report, in its order. */
export interface AdvanceResponse {
  readonly run: Incarnation;
  readonly states: readonly AdvanceState[];
}

/** Requests the changes of the rules after a version. */
export interface RulesRequest {
  readonly after: RulesVersion;
}

/** The accepted edits after a version, or the whole text if the edits are no longer retained. */
export type RulesResponse =
  | { readonly kind: 'edits'; readonly edits: readonly EditEntry[] }
  | { readonly kind: 'text'; readonly version: RulesVersion; readonly lines: readonly string[] };

/** The position of a record of the store. Offsets of different eras can't be compared. */
export interface RecordPosition {
  /** Increases each time the store goes back to an older copy. */
  readonly era: number;
  readonly offset: number;
}

/** What a gateway knows of the evacuation of one availability zone. */
export interface EvacuationWord {
  readonly zone: string;
  /** Of the record, or of the listing that lacked it. */
  readonly position: RecordPosition;
  readonly isEvacuated: boolean;
  /** Time until the evacuation ends unless its record is written again, in milliseconds; missing if it is in force. */
  readonly leftMs?: number | undefined;
}

/** The evacuations known to a gateway that has applied every record before a position. */
export interface EvacuationListing {
  readonly next: RecordPosition;
  readonly zones: readonly EvacuationWord[];
}

/** Sends patterns to a peer and requests its state, which replaces the store while that is unavailable. */
export interface GatewayStateRequest {
  readonly configVersion: number;
  readonly patterns: readonly PoisonPattern[];
}

/** The state of a gateway. */
export interface GatewayStateResponse extends EndpointListing {
  readonly patterns: readonly PoisonPattern[];
  /** The encoded configuration in base64, if it is newer than `configVersion` of the request. */
  readonly config: string | undefined;
  /** Missing in responses of earlier versions. */
  readonly evacuations?: EvacuationListing | undefined;
}

/** What a gateway knows of the limit that an endpoint named. */
export interface EndpointLimitWord {
  readonly endpoint: VmId;
  readonly startedAtMs: number;
  /** Calls per second that the endpoint takes from all gateways together; missing if it names no limit any more. */
  readonly limitPerSecond?: number | undefined;
  /** A word with a higher version is newer. */
  readonly version: number;
}

/** What a gateway knows of the warm-up of an endpoint that is cold. */
export interface ColdEndpointWord {
  readonly endpoint: VmId;
  readonly startedAtMs: number;
  /** Of the newest entry that the gateway had read. */
  readonly sequence: number;
  /** A word with a higher version about the same entry is newer. */
  readonly version: number;
  /** Time until the end of the warm-up, in milliseconds. */
  readonly leftMs: number;
}

/** The words of one gateway about the limits of endpoints. */
export interface LimitExchange {
  readonly words: readonly EndpointLimitWord[];
  /** Missing in messages of earlier versions. */
  readonly cold?: readonly ColdEndpointWord[] | undefined;
}

/** The load of one endpoint by one or more gateways. */
export type LoadRow = readonly [
  endpoint: VmId,
  calls: number,
  /** Prompt tokens that await prefill and are probably not cached. */
  prefillTokens: number,
  /** Tokens of prompts and expected output in the endpoint's memory. */
  memoryTokens: number,
  /** Prompt tokens sent: in a report since the one before, in sums per second. */
  sentTokens: number,
  /** Times to the first event, in milliseconds, and the tokens prefilled in them. */
  sampleMs: number,
  sampleTokens: number,
];

/** The load by several gateways, without their names. */
export interface LoadSums {
  readonly rows: readonly LoadRow[];
  /** The number of gateways in the sums. */
  readonly gateways: number;
  /** The mean age of their figures, in milliseconds. */
  readonly ageMs: number;
}

/** The load of a gateway, of all that report to it, or of all but the one that asks. */
export interface LoadReport {
  readonly kind: 'gateway' | 'group' | 'others';
  readonly vm: VmId;
  readonly run: Incarnation;
  /** A report with a lower sequence of the same run is older. */
  readonly sequence: number;
  readonly load: LoadSums;
}

/** The calls of one gateway that a crash of their endpoint broke off. */
export interface CrashReport {
  readonly crash: CrashId;
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  readonly calls: readonly CrashedCall[];
  /** Whether the receiver decides about the crash, or only keeps the evidence. */
  readonly shouldDecide: boolean;
}

/** Asks a gateway how its calls with these features and on these routes ended. */
export interface CrashSurvey {
  readonly features: readonly Feature[];
  readonly routes: readonly RouteName[];
}

/** The response, in the order of the survey. */
export interface CrashSurveyResponse {
  /** Time since an endpoint last answered a call with the feature, in milliseconds; none if unknown. */
  readonly answeredAgesMs: readonly (number | null | undefined)[];
  readonly answers: readonly AnswerCounts[];
}

/** Asks a witness to record that the holder activates all claims of a record. */
export interface ExtensionRequest extends ExtensionQuery {
  readonly sequence: number;
}

/** Asks a witness what it recorded for an incarnation that has ended. */
export interface ExtensionQuery {
  readonly holder: VmId;
  /** The shard of the accounts. */
  readonly part: number;
  readonly run: Incarnation;
  /** The incarnation of the witness that the record names; a later one has no earlier entries. */
  readonly witnessRun: Incarnation;
}

/** The extension that a witness recorded. */
export interface ExtensionResponse {
  readonly isWitness: boolean;
  /** Sequence number of the last record whose claims were extended; 0 for none. */
  readonly sequence: number;
}

/** Identifies the newest record of a holder that the sender knows. */
export interface KnownRecord {
  readonly holder: VmId;
  readonly run: Incarnation;
  readonly sequence: number;
  readonly generation: number;
}

/** Asks for the records of holders that are newer than the known ones. */
export interface RecordsRequest {
  /** The shard of the accounts. */
  readonly part: number;
  /** The sender's era of the store. */
  readonly era: Era;
  readonly known: readonly KnownRecord[];
  /** Whether holders that `known` lacks are asked for as well. */
  readonly isAll: boolean;
}

/** The newer records that a gateway knows. */
export interface RecordsResponse {
  readonly era: Era;
  /** Whether the gateway has asked all holders since the store entered the era. */
  readonly isRecovered: boolean;
  /** The encoded records in base64. */
  readonly records: readonly { readonly holder: VmId; readonly record: string }[];
}

/** Tells the coordinator of a zone the state of one of the zone's vms in the load balancer's rotation. */
export interface RotationReport {
  readonly vm: VmId;
  readonly zone: AvailabilityZone;
  readonly state: RotationState;
}

/** The methods by name, with their parameters and results. */
export interface PeerMethods {
  'peer.probe': { params: ProbeMessage; result: ProbeMessage };
  'budget.transfer': { params: TransferRequest; result: TransferResponse };
  'budget.give': { params: GiveRequest; result: TransferResponse };
  'budget.hold': { params: PeerHoldRequest; result: PeerHoldResponse };
  'budget.settle': { params: PeerSettlement; result: { isKnown: boolean } };
  'budget.settleAll': { params: PeerSettlements; result: PeerSettlementsResponse };
  'budget.advance': { params: AdvanceReport; result: AdvanceResponse };
  'budget.recall': { params: AdvanceRecall; result: { isKnown: boolean } };
  'gateway.state': { params: GatewayStateRequest; result: GatewayStateResponse };
  'gateway.rotation': { params: RotationReport; result: RotationAdvice };
  'gateway.limits': { params: LimitExchange; result: LimitExchange };
  /** Answers a gateway with the load of all others, a group with the load of the receiver's group. */
  'gateway.load': { params: LoadReport; result: LoadReport };
  'crash.report': { params: CrashReport; result: { isAccepted: boolean } };
  'crash.survey': { params: CrashSurvey; result: CrashSurveyResponse };
  'escrow.extend': { params: ExtensionRequest; result: ExtensionResponse };
  'escrow.extended': { params: ExtensionQuery; result: ExtensionResponse };
  'escrow.records': { params: RecordsRequest; result: RecordsResponse };
  'rules.get': { params: RulesRequest; result: RulesResponse };
}

/** The name of a method. */
export type PeerMethod = keyof PeerMethods;

/** Calls methods of peers. Rejects if the peer is unreachable. */
export abstract class PeerClient {
  abstract call<Method extends PeerMethod>(
    peer: VmId,
    method: Method,
    params: PeerMethods[Method]['params'],
    /** Maximum wait for the response; defaults to the client's limit. */
    timeoutMs?: number,
  ): Promise<PeerMethods[Method]['result']>;
}
