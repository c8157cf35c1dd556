/** Transfers tokens between routers: from homes to other routers, and between any routers while the log is unavailable. */
import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { BudgetId, VmId } from '../types/ids.js';
import type { GiveRequest, PeerClient, TransferResponse, TransferRequest } from '../types/peers.js';
import { TransferPeers, type TransferResult } from './budgetShard.js';

/** Options of the transfer controller. */
export interface TransferControllerOptions {
  readonly client: PeerClient;
  /** Returns the peers to ask, homes of the budget first. */
  readonly getPeers: (budget: BudgetId) => readonly VmId[];
  /** Deducts tokens from this router's allotment, which a home may refill from the log, and returns the number. */
  readonly lendTokens: (budget: BudgetId, need: number, want: number) => Promise<number>;
  readonly receiveTokens: (budget: BudgetId, tokens: number) => void;
  /** Timeout of one call, in milliseconds. Default 1,500. */
  readonly timeoutMs?: number;
}

const PEERS_PER_REQUEST_MAX = 8;
const ATTEMPTS_MAX = 2;
const REMEMBERED_TRANSFERS_MAX = 10_000;

/**
 * Both ends of a transfer. The sender deducts the tokens first and responds to a duplicate transfer id
 * with the same amount; the receiver credits an id once. If no response arrives, the tokens are lost
 * rather than credited twice.
 */
export class TransferController extends TransferPeers {
  private readonly lentTransfers = new LRUCache<string, Promise<number>>({
    max: REMEMBERED_TRANSFERS_MAX,
  });

  private readonly receivedTransfers = new LRUCache<string, true>({
    max: REMEMBERED_TRANSFERS_MAX,
  });

  constructor(private readonly options: TransferControllerOptions) {
    super();
  }

  /** Handles a peer's request for tokens. */
  async lend({ transfer, budget, need, want }: TransferRequest): Promise<TransferResponse> {
    const lending = this.lentTransfers.get(transfer) ?? this.options.lendTokens(budget, need, want);
    this.lentTransfers.set(transfer, lending);
    return { tokens: await lending };
  }

  /** Credits tokens given by a peer. */
  receive({ transfer, budget, tokens }: GiveRequest): TransferResponse {
    if (!this.receivedTransfers.has(transfer)) {
      this.receivedTransfers.set(transfer, true);
      this.options.receiveTokens(budget, tokens);
    }
    return { tokens };
  }

  override async requestTokens(
    budget: BudgetId,
    need: number,
    want: number,
  ): Promise<TransferResult> {
    let tokens = 0;
    let isReached = false;
    const peers = this.options.getPeers(budget).slice(0, PEERS_PER_REQUEST_MAX);
    const requiredTokens = Math.max(1, need);
    for (let index = 0; index < peers.length && tokens < requiredTokens; index += 1) {
      // Each further peer is asked only for the tokens that the earlier ones did not send.
      const request = { budget, need: Math.max(0, need - tokens), want: want - tokens };
      const response = await this.callWithRetry(peers[index]!, 'budget.transfer', request);
      isReached ||= response !== undefined;
      tokens += response?.tokens ?? 0;
    }
    return { tokens, isReached };
  }

  override async giveTokens(budget: BudgetId, tokens: number): Promise<void> {
    const [home] = this.options.getPeers(budget);
    if (home) {
      await this.callWithRetry(home, 'budget.give', { budget, tokens });
    }
  }

  /** Calls a peer and retries a failed call under the same transfer id. */
  private async callWithRetry<Method extends 'budget.transfer' | 'budget.give'>(
    peer: VmId,
    method: Method,
    params: Omit<Method extends 'budget.give' ? GiveRequest : TransferRequest, 'transfer'>,
  ): Promise<TransferResponse | undefined> {
    const { client, timeoutMs = 1_500 } = this.options;
    const request = { ...params, transfer: randomUUID() } as never;
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
      try {
        return await client.call(peer, method, request, timeoutMs);
      } catch {
        // The retry uses the same id, since the peer may already have applied the transfer.
      }
    }
    return undefined;
  }
}
