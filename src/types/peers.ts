/** The messages between routers, carried by JSON-RPC 2.0. */
import type { CodeName } from '../core/codes.js';
import type { EndpointEntry } from './gateway.js';
import type { BudgetId, Incarnation, RulesVersion, VmId } from './ids.js';
import type { EditEntry } from './records.js';

/** How often a body was in flight on an endpoint that died. */
export interface Suspect {
  readonly digest: string;
  readonly deaths: number;
}

/** What peers tell each other with every probe. */
export interface ProbeMessage {
  readonly vm: VmId;
  readonly rulesVersion: RulesVersion;
  /** Endpoints that said themselves that they are leaving. */
  readonly leaving: readonly VmId[];
  readonly suspects: readonly Suspect[];
}

/** Asks for tokens; a repeat of the id gets the same answer. */
export interface TransferRequest {
  readonly transfer: string;
  readonly budget: BudgetId;
  /** The least that helps, 0 for a refill. */
  readonly need: number;
  readonly want: number;
}

/** Gives tokens to a home; a repeat of the id counts once. */
export interface GiveRequest {
  readonly transfer: string;
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** How many tokens were moved. */
export interface TransferResponse {
  readonly tokens: number;
}

/** Asks a home to set tokens aside; a repeat of the id gets the same answer. */
export interface PeerHoldRequest {
  readonly hold: string;
  readonly budget: BudgetId;
  readonly tokens: number;
  /** How long the home may wait for the store, in milliseconds. */
  readonly waitMs: number;
}

/** Whether a home set tokens aside. */
export type PeerHoldResponse =
  | { readonly kind: 'held' }
  | {
      readonly kind: 'refused';
      readonly name: CodeName;
      readonly detail?: string | undefined;
      readonly retryAfterMs?: number | undefined;
    }
  /** The peer can't judge, or is stopping. */
  | { readonly kind: 'unavailable' };

/** Ends a hold at a home with the tokens that were used. A repeat changes nothing. */
export interface PeerSettlement {
  readonly hold: string;
  readonly used: number;
}

/** Asks for what changed after a version. */
export interface RulesRequest {
  readonly after: RulesVersion;
}

/** The accepted edits after a version, or the whole text where they are not kept any more. */
export type RulesResponse =
  | { readonly kind: 'edits'; readonly edits: readonly EditEntry[] }
  | { readonly kind: 'text'; readonly version: RulesVersion; readonly lines: readonly string[] };

/** What a gateway without the store knows, to learn the rest from a peer. */
export interface GatewayStateRequest {
  readonly configVersion: number;
  readonly suspects: readonly Suspect[];
}

/** What a gateway knows from the store. */
export interface GatewayStateResponse {
  /** Whether the peer reads the store's topics itself at this moment. */
  readonly isCurrent: boolean;
  readonly suspects: readonly Suspect[];
  /** The configuration's bytes in base64, where it is newer than the one asked with. */
  readonly config: string | undefined;
  readonly endpoints: readonly EndpointEntry[];
}

/** Asks a witness to note that a holder opens all that a record claims. */
export interface ExtensionRequest extends ExtensionQuery {
  readonly sequence: number;
}

/** Asks a witness what it noted of a run that is over. */
export interface ExtensionQuery {
  readonly holder: VmId;
  /** The part of the accounts. */
  readonly part: number;
  readonly run: Incarnation;
  /** The run of the witness that the record names; a later one remembers nothing. */
  readonly witnessRun: Incarnation;
}

/** What a witness noted. */
export interface ExtensionResponse {
  readonly isWitness: boolean;
  /** The last record whose claims were opened, 0 for none. */
  readonly sequence: number;
}

/** The methods by name, each with its parameters and its result. */
export interface PeerMethods {
  'peer.probe': { params: ProbeMessage; result: ProbeMessage };
  'budget.transfer': { params: TransferRequest; result: TransferResponse };
  'budget.give': { params: GiveRequest; result: TransferResponse };
  'budget.hold': { params: PeerHoldRequest; result: PeerHoldResponse };
  'budget.settle': { params: PeerSettlement; result: { isKnown: boolean } };
  'gateway.state': { params: GatewayStateRequest; result: GatewayStateResponse };
  'escrow.extend': { params: ExtensionRequest; result: ExtensionResponse };
  'escrow.extended': { params: ExtensionQuery; result: ExtensionResponse };
  'rules.get': { params: RulesRequest; result: RulesResponse };
}

/** The name of a method. */
export type PeerMethod = keyof PeerMethods;

/** Calls methods of peers. Fails with a text where the peer is out of reach. */
export abstract class PeerClient {
  abstract call<Method extends PeerMethod>(
    peer: VmId,
    method: Method,
    params: PeerMethods[Method]['params'],
    /** Longest wait for the answer; the client's own limit otherwise. */
    timeoutMs?: number,
  ): Promise<PeerMethods[Method]['result']>;
}
