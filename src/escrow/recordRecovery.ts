/**
 * Learns the records that the store lost when it returned from an older copy. Other holders may have claims that are in no
 * record of the store, so this process claims nothing until it has heard from each of them, or they are silent for long.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import { NO_ERA, type StoreEra } from '../store/storeEra.js';
import type { VmId } from '../types/ids.js';
import type { KnownRecord, PeerClient, RecordsRequest, RecordsResponse } from '../types/peers.js';
import { decodeHolderRecord, encodeHolderRecord, type HolderRecord } from './holderRecord.js';
import type { LedgerReader } from './ledgerReader.js';
import { isOlderRecord } from './recordOrder.js';

/** Options of the recovery. */
export interface RecordRecoveryOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly reader: LedgerReader;
  readonly era: StoreEra;
  readonly vm: VmId;
  /** The shard of the accounts. */
  readonly part: number;
  /** Returns the vms to ask while no holder is known. */
  readonly getSeeds: () => readonly VmId[];
  /** Called when a recovery ends. */
  readonly onEnd: () => void;
}

/** Claims cover spending for 8 s, so a pause of this length refuses few calls. */
const SILENCE_MAX_MS = 3_000;
const CALL_TIMEOUT_MS = 300;
const RETRY_INTERVAL_MS = 200;
const PEERS_ASKED_FOR_ALL_MAX = 12; // a request names each known record, 12 KB for 200 holders

/** Whether claims are allowed, and why not. */
type RecoveryState =
  | { readonly kind: 'ended' }
  /** `isStart`: this process has stored no record yet, and its predecessor's newest one may be lost. */
  | { readonly kind: 'asking'; readonly since: number; readonly isStart: boolean };

/** The recoveries of one process. */
export class RecordRecovery {
  private state: RecoveryState = { kind: 'ended' };

  private endedAt = 0;

  /** The peers that answered in this recovery. */
  private readonly heard = new Set<VmId>();

  private isAsking = false;

  constructor(private readonly options: RecordRecoveryOptions) {}

  /** Begins a recovery, also in place of one in progress; `isStart` if this process has stored no record yet. */
  begin(isStart: boolean): void {
    this.state = { kind: 'asking', since: this.options.timers.now(), isStart };
    this.heard.clear();
  }

  /** Returns whether this process may claim tokens. */
  mayClaim(): boolean {
    return this.state.kind === 'ended';
  }

  /** Returns whether this process must not store its first record yet. */
  isStarting(): boolean {
    return this.state.kind === 'asking' && this.state.isStart;
  }

  /** Returns the time since the last recovery ended, in milliseconds; 0 during one. */
  getAgeMs(): number {
    return this.state.kind === 'ended' ? this.options.timers.now() - this.endedAt : 0;
  }

  /** Asks the holders in the background; called when the newest records have been read. */
  advance(): void {
    if (this.state.kind === 'ended' || this.isAsking) {
      return;
    }
    this.isAsking = true;
    this.askUntilEnd()
      .catch((error: unknown) => {
        this.options.logger.error('recovery of account records failed', {
          error: getErrorMessage(error),
        });
      })
      .finally(() => {
        this.isAsking = false;
      });
  }

  /** Returns the records that are newer than those which a peer knows. */
  createResponse({ known, isAll }: RecordsRequest): RecordsResponse {
    const { reader, era } = this.options;
    const knownByHolder = new Map(known.map((record) => [record.holder, record]));
    const holders = isAll ? [...reader.ledger.holders.keys()] : [...knownByHolder.keys()];
    const records = holders.flatMap((holder) => {
      const record = reader.getNewest(holder);
      return record && isUnknown(record, knownByHolder.get(holder))
        ? [{ holder, record: encodeForPeer(holder, record) }]
        : [];
    });
    return { era: era.getEra(), isRecovered: this.state.kind === 'ended', records };
  }

  private async askUntilEnd(): Promise<void> {
    const { timers, logger, era, part, reader } = this.options;
    for (;;) {
      const { state } = this;
      if (state.kind === 'ended') {
        return;
      }
      const unheard = this.getUnheard(state.isStart);
      const isCurrent = reader.getOffset() !== undefined;
      if (unheard.length === 0 && !isCurrent) {
        // Continued after the next read, which may show other holders.
        return;
      }
      const elapsedMs = timers.now() - state.since;
      if (unheard.length === 0 || (isCurrent && elapsedMs >= SILENCE_MAX_MS)) {
        this.state = { kind: 'ended' };
        this.endedAt = timers.now();
        logger.info('account records recovered', {
          part,
          era: era.getEra(),
          elapsedMs: Math.round(elapsedMs),
          heard: this.heard.size,
          silent: unheard,
        });
        this.options.onEnd();
        return;
      }
      // Sequential: a round may add holders to ask.
      const answers = await Promise.all(
        unheard.map((peer, index) => this.ask(peer, index < PEERS_ASKED_FOR_ALL_MAX)),
      );
      if (state.isStart && state === this.state && answers.some((answer) => answer?.isRecovered)) {
        // That peer has heard from all holders, and has sent what it knows.
        this.getUnheard(true).forEach((peer) => this.heard.add(peer));
      } else if (this.getUnheard(state.isStart).length > 0) {
        await timers.sleep(RETRY_INTERVAL_MS);
      }
    }
  }

  /** Returns the holders whose newest record this process can't be sure to know. */
  private getUnheard(isStart: boolean): VmId[] {
    const { reader, vm, era, getSeeds } = this.options;
    const holders = [...reader.ledger.holders].filter(([holder]) => holder !== vm);
    const ids = holders.length > 0 ? holders.map(([holder]) => holder) : getSeeds();
    return ids.filter((id, index) => {
      const recordEra = reader.ledger.holders.get(id)?.era ?? NO_ERA;
      const isCurrent = recordEra >= era.getEra() && !(isStart && index < PEERS_ASKED_FOR_ALL_MAX);
      return !isCurrent && !this.heard.has(id);
    });
  }

  private async ask(peer: VmId, isAll: boolean): Promise<RecordsResponse | undefined> {
    const { client, reader, era, part, logger } = this.options;
    const { state } = this;
    const holders = isAll ? [...reader.ledger.holders.keys()] : [peer];
    const known = holders.flatMap((holder) => toKnownRecord(holder, reader.getNewest(holder)));
    const request = { part, era: era.getEra(), known, isAll };
    try {
      const response = await client.call(peer, 'escrow.records', request, CALL_TIMEOUT_MS);
      response.records.forEach(({ holder, record }) => this.applyRecord(holder, record));
      if (this.state === state) {
        this.heard.add(peer);
      }
      return response;
    } catch (error) {
      logger.debug('no account records from peer', { peer, detail: getErrorMessage(error) });
      return undefined;
    }
  }

  private applyRecord(holder: VmId, encoded: string): void {
    const record = decodeHolderRecord(Buffer.from(encoded, 'base64'));
    if (record.ok) {
      this.options.reader.applyPeerRecord(holder, record.val);
    } else {
      this.options.logger.warn('ignoring malformed account record of a peer', {
        holder,
        detail: record.val,
      });
    }
  }
}

/** Throws if the peer would not accept the record: it must ask again, as an answer without it hides what is claimed. */
function encodeForPeer(holder: VmId, record: HolderRecord): string {
  const encoded = encodeHolderRecord(record);
  if (encoded.err) {
    throw new Error(`account record of ${holder} can not be encoded: ${encoded.val}`);
  }
  return Buffer.from(encoded.val).toString('base64');
}

function toKnownRecord(holder: VmId, record: HolderRecord | undefined): KnownRecord[] {
  if (!record) {
    return [];
  }
  const { run, sequence, generation = 0 } = record;
  return [{ holder, run, sequence, generation }];
}

function isUnknown(record: HolderRecord, known: KnownRecord | undefined): boolean {
  return (
    !known ||
    (record.run === known.run ? record.sequence > known.sequence : !isOlderRecord(record, known))
  );
}
