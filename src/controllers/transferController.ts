/** Moves allotment between routers while the log is away. */
import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { BudgetId, VmId } from '../types/ids.js';
import type { PeerClient, TransferAnswer, TransferRequest } from '../types/peers.js';
import { TransferPeers } from './budgetShard.js';

/** Options of the transfer controller. */
export interface TransferControllerOptions {
  readonly client: PeerClient;
  readonly getPeers: () => readonly VmId[];
  /** Takes free tokens out of this router's allotment. */
  readonly sendTokens: (budget: BudgetId, tokens: number) => number;
  readonly createId?: () => string;
}

const PEERS_ASKED_MAX = 8;
const TRIES = 2;
const REMEMBERED_TRANSFERS = 10_000;

/**
 * Both ends of a transfer. The giver deducts first and answers a repeated id with the same amount;
 * the taker credits an id once. A transfer whose answer never arrives is stranded, never doubled.
 */
export class TransferController extends TransferPeers {
  private readonly answered = new LRUCache<string, number>({ max: REMEMBERED_TRANSFERS });

  constructor(private readonly options: TransferControllerOptions) {
    super();
  }

  /** Answers a peer. */
  answer({ transfer, budget, tokens }: TransferRequest): TransferAnswer {
    const known = this.answered.get(transfer);
    if (known !== undefined) {
      return { tokens: known };
    }
    const sent = this.options.sendTokens(budget, tokens);
    this.answered.set(transfer, sent);
    return { tokens: sent };
  }

  override async requestTokens(budget: BudgetId, tokens: number): Promise<number> {
    let received = 0;
    const peers = this.options.getPeers().slice(0, PEERS_ASKED_MAX);
    for (let index = 0; index < peers.length && received < tokens; index += 1) {
      // Asks the next peer only for what the ones before did not give.

      received += await this.requestFrom(peers[index]!, budget, tokens - received);
    }
    return received;
  }

  private async requestFrom(peer: VmId, budget: BudgetId, tokens: number): Promise<number> {
    const transfer = (this.options.createId ?? randomUUID)();
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      try {
        const answer = await this.options.client.call(peer, 'budget.transfer', {
          transfer,
          budget,
          tokens,
        });
        return answer.tokens;
      } catch {
        // The same id is asked again: the peer may have given the tokens already.
      }
    }
    return 0;
  }
}
