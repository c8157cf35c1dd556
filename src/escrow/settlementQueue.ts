/**
 * Delivers the settlements of holds to their homes. The settlements of one home within a short time share one signed
 * message, since messages cost processor time here and at the home.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { createDeferred, getErrorMessage } from '../core/utilities.js';
import type { VmId } from '../types/ids.js';
import type { PeerClient, PeerSettlement } from '../types/peers.js';

/** Options of the queue. */
export interface SettlementQueueOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** How long a settlement waits for others to the same home, in milliseconds. Default 60. */
  readonly batchMs?: number;
}

/** The settlements that wait for their message. */
interface Batch {
  readonly home: VmId;
  readonly settlements: PeerSettlement[];
  readonly cancelTimer: Unsubscribe;
}

const BATCH_MS = 60; // a few calls to each home; the tokens that they did not use are free that much later
const BATCH_SIZE_MAX = 256;
const TIMEOUT_MS = 500;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
const ATTEMPTS_MAX = 15; // about 25 s, longer than transient partitions between vms last
const METHOD_NOT_FOUND = -32_601; // of JSON-RPC 2.0

/** The settlements of one process. */
export class SettlementQueue {
  private readonly batches = new Map<VmId, Batch>();

  /** Homes of an earlier release, which know no message with several settlements. */
  private readonly singleHomes = new Set<VmId>();

  private pendingMessages = 0;

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  constructor(private readonly options: SettlementQueueOptions) {}

  /**
   * Adds a settlement, which is delivered or retried until the home confirms it.
   *
   * @example
   * queue.add(home, { hold: 'vm1-1', used: 840 });
   */
  add(home: VmId, settlement: PeerSettlement): void {
    const { timers, batchMs = BATCH_MS } = this.options;
    let batch = this.batches.get(home);
    if (!batch) {
      const cancelTimer = timers.subscribe(batchMs, () => this.send(home));
      batch = { home, settlements: [], cancelTimer };
      this.batches.set(home, batch);
    }
    batch.settlements.push(settlement);
    if (this.isDraining || batch.settlements.length >= BATCH_SIZE_MAX) {
      this.send(home);
    }
  }

  /** Sends what is waiting; resolves once every settlement has been delivered or abandoned. */
  async drain(): Promise<void> {
    this.isDraining = true;
    [...this.batches.keys()].forEach((home) => this.send(home));
    this.resolveIfIdle();
    await this.drained.promise;
  }

  private send(home: VmId): void {
    const batch = this.batches.get(home);
    if (!batch) {
      return;
    }
    batch.cancelTimer();
    this.batches.delete(home);
    this.pendingMessages += 1;
    this.deliver(batch)
      .catch((error: unknown) => {
        const detail = getErrorMessage(error);
        this.options.logger.error('unexpected error while settling holds', { home, detail });
      })
      .finally(() => {
        this.pendingMessages -= 1;
        this.resolveIfIdle();
      });
  }

  /** Retries until the home confirms the settlements: unsettled tokens stay held there. */
  private async deliver({ home, settlements }: Batch): Promise<void> {
    const { timers, logger } = this.options;
    let open: readonly PeerSettlement[] = settlements;
    let detail = '';
    for (let attempt = 1; attempt <= ATTEMPTS_MAX; attempt += 1) {
      try {
        // Sequential: each attempt follows the failure of the previous one.
        open = await this.settle(home, open);
        if (open.length === 0) {
          return;
        }
      } catch (error) {
        detail = getErrorMessage(error);
        if (isUnknownMethod(error)) {
          this.singleHomes.add(home);
          continue;
        }
      }
      await timers.sleep(Math.min(RETRY_MAX_MS, RETRY_MIN_MS * attempt));
    }
    open.forEach(({ hold, used }) => {
      logger.warn('hold not settled: home did not respond', {
        home,
        hold,
        used,
        detail,
        attempts: ATTEMPTS_MAX,
      });
    });
  }

  /** Returns the settlements that the home has not confirmed. */
  private async settle(
    home: VmId,
    settlements: readonly PeerSettlement[],
  ): Promise<readonly PeerSettlement[]> {
    const { client } = this.options;
    if (!this.singleHomes.has(home)) {
      const { unknown } = await client.call(home, 'budget.settleAll', { settlements }, TIMEOUT_MS);
      const unknownHolds = new Set(unknown);
      this.logUnknown(
        home,
        settlements.filter(({ hold }) => unknownHolds.has(hold)),
      );
      return [];
    }
    const results = await Promise.allSettled(
      settlements.map((settlement) => client.call(home, 'budget.settle', settlement, TIMEOUT_MS)),
    );
    const isUnknown = (index: number) => {
      const result = results[index]!;
      return result.status === 'fulfilled' && !result.value.isKnown;
    };
    this.logUnknown(
      home,
      settlements.filter((_, index) => isUnknown(index)),
    );
    return settlements.filter((_, index) => results[index]!.status === 'rejected');
  }

  /**
   * The home has restarted, and its new process counts the holds as spent, or it got an earlier attempt whose response
   * was lost.
   */
  private logUnknown(home: VmId, settlements: readonly PeerSettlement[]): void {
    settlements
      .filter(({ used }) => used > 0)
      .forEach(({ hold, used }) => {
        this.options.logger.info('home does not know the settled hold', { home, hold, used });
      });
  }

  private resolveIfIdle(): void {
    if (this.isDraining && this.pendingMessages === 0) {
      this.drained.resolve();
    }
  }
}

function isUnknownMethod(error: unknown): boolean {
  return (error as { readonly code?: unknown }).code === METHOD_NOT_FOUND;
}
