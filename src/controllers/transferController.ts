/** Moves allotment between routers: from homes to others, and between any while the log is away. */
import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { BudgetId, VmId } from '../types/ids.js';
import type { GiftRequest, PeerClient, TransferAnswer, TransferRequest } from '../types/peers.js';
import { TransferPeers, type TransferResult } from './budgetShard.js';

/** Options of the transfer controller. */
export interface TransferControllerOptions {
  readonly client: PeerClient;
  /** Returns whom to ask, homes of the budget first. */
  readonly getPeers: (budget: BudgetId) => readonly VmId[];
  /** Takes tokens out of this router's allotment, drawing on the log where it may. */
  readonly lendTokens: (budget: BudgetId, need: number, want: number) => Promise<number>;
  readonly receiveTokens: (budget: BudgetId, tokens: number) => void;
  /** Longest wait for one answer, in milliseconds. Default 1,500. */
  readonly timeoutMs?: number;
}

const PEERS_PER_REQUEST_MAX = 8;
const ATTEMPTS_MAX = 2;
const REMEMBERED_TRANSFERS_MAX = 10_000;

/**
 * Both ends of a transfer. The giver deducts first and answers a repeated id with the same amount;
 * the taker credits an id once. A transfer whose answer never arrives is stranded, never doubled.
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

  /** Answers a peer that asks for tokens. */
  async lend({ transfer, budget, need, want }: TransferRequest): Promise<TransferAnswer> {
    const lending = this.lentTransfers.get(transfer) ?? this.options.lendTokens(budget, need, want);
    this.lentTransfers.set(transfer, lending);
    return { tokens: await lending };
  }

  /** Takes tokens that a peer gives. */
  receive({ transfer, budget, tokens }: GiftRequest): TransferAnswer {
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
    const enough = Math.max(1, need);
    for (let index = 0; index < peers.length && tokens < enough; index += 1) {
      // Asks the next peer only for what the ones before did not give.
      const request = { budget, need: Math.max(0, need - tokens), want: want - tokens };
      const answer = await this.callWithRetry(peers[index]!, 'budget.transfer', request);
      isReached ||= answer !== undefined;
      tokens += answer?.tokens ?? 0;
    }
    return { tokens, isReached };
  }

  override async giveTokens(budget: BudgetId, tokens: number): Promise<void> {
    const [home] = this.options.getPeers(budget);
    if (home) {
      await this.callWithRetry(home, 'budget.give', { budget, tokens });
    }
  }

  /** Calls a peer, and again under the same id where the answer was lost. */
  private async callWithRetry<Method extends 'budget.transfer' | 'budget.give'>(
    peer: VmId,
    method: Method,
    params: Omit<Method extends 'budget.give' ? GiftRequest : TransferRequest, 'transfer'>,
  ): Promise<TransferAnswer | undefined> {
    const { client, timeoutMs = 1_500 } = this.options;
    const request = { ...params, transfer: randomUUID() } as never;
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
      try {
        return await client.call(peer, method, request, timeoutMs);
      } catch {
        // The same id is asked again: the peer may have moved the tokens already.
      }
    }
    return undefined;
  }
}
