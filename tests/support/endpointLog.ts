/** The store's topic of endpoint entries with late writes, and readers that follow it at their own pace. */
import type { EndpointDirectory } from '../../src/gateway/endpointDirectory.js';
import type { EndpointEntry } from '../../src/types/gateway.js';
import { brandId, type Offset, type VmId } from '../../src/types/ids.js';

/** What an endpoint, or the store on its behalf, writes next. */
export interface LogStep {
  readonly kind: 'start' | 'renew' | 'leave' | 'remove' | 'expire' | 'delay';
  readonly endpoint: number;
}

interface LogRecord {
  readonly id: string;
  readonly offset: Offset;
  /** `undefined` if the record removes the entry. */
  readonly entry: EndpointEntry | undefined;
}

/** What an endpoint has done in fact. */
interface EndpointTruth {
  startedAtMs: number;
  sequence: number;
  state: 'live' | 'expired' | 'leaving' | 'gone';
  /** Entries of this start whose writes have been delayed. */
  readonly written: EndpointEntry[];
}

/** The log. Offsets are indexes. */
export class EndpointLog {
  readonly records: LogRecord[] = [];

  private readonly truths = new Map<string, EndpointTruth>();

  /** Offset of the record that says that a start of an endpoint leaves, or has left, by id and start. */
  private readonly goneOffsets = new Map<string, Offset>();

  constructor(private readonly template: EndpointEntry) {}

  /** Writes what the step says if the endpoint is in a state that allows it. */
  write({ kind, endpoint }: LogStep): void {
    const id = `e${endpoint}`;
    const truth = this.truths.get(id);
    if (kind === 'start') {
      if (!truth || truth.state === 'gone') {
        const startedAtMs = (truth?.startedAtMs ?? 0) + 1;
        this.truths.set(id, { startedAtMs, sequence: 0, state: 'live', written: [] });
        this.writeEntry(id);
      }
      return;
    }
    if (truth) {
      this.continueEndpoint(id, truth, kind);
    }
  }

  /** Returns the ids of the endpoints that accept calls and are listed. */
  getLiveIds(): string[] {
    return [...this.truths].filter(([, { state }]) => state === 'live').map(([id]) => id);
  }

  /** Returns the offset of the first record that says for good that a start leaves, or has left. */
  getGoneOffset({ id, startedAtMs }: EndpointEntry): Offset | undefined {
    return this.goneOffsets.get(`${id}@${startedAtMs}`);
  }

  createReader(directory: EndpointDirectory): LogReader {
    return new LogReader(this, directory);
  }

  private continueEndpoint(id: string, truth: EndpointTruth, kind: LogStep['kind']): void {
    const isListed = truth.state === 'live' || truth.state === 'leaving';
    if (kind === 'delay' && truth.written.length > 0) {
      // A write whose response was lost takes effect once more, after newer ones. The endpoint or the store corrects it.
      this.append(id, truth.written.at(-1));
      if (truth.state !== 'gone') {
        this.writeEntry(id);
      }
    } else if (kind === 'renew' && (truth.state === 'live' || truth.state === 'expired')) {
      truth.state = 'live';
      this.writeEntry(id);
    } else if (kind === 'leave' && truth.state === 'live') {
      truth.state = 'leaving';
      this.recordGone(id, truth);
      this.writeEntry(id);
    } else if (kind === 'remove' && isListed) {
      truth.state = 'gone';
      this.recordGone(id, truth);
      this.append(id, undefined);
    } else if (kind === 'expire' && truth.state === 'live') {
      truth.state = 'expired';
      this.append(id, undefined);
    }
  }

  private recordGone(id: string, { startedAtMs }: EndpointTruth): void {
    const key = `${id}@${startedAtMs}`;
    if (!this.goneOffsets.has(key)) {
      this.goneOffsets.set(key, brandId(this.records.length));
    }
  }

  private writeEntry(id: string): void {
    const truth = this.truths.get(id)!;
    truth.sequence += 1;
    const { startedAtMs, sequence } = truth;
    const state = truth.state === 'leaving' ? 'leaving' : 'ready';
    const entry = {
      ...this.template,
      id: brandId<VmId>(id),
      startedAtMs,
      sequence,
      state,
    } as const;
    truth.written.push(entry);
    this.append(id, entry);
  }

  private append(id: string, entry: EndpointEntry | undefined): void {
    this.records.push({ id, offset: brandId(this.records.length), entry });
  }
}

/** One reader of the log. */
export class LogReader {
  private next = 0;

  /** Offsets of the records that were read one by one. */
  private readonly readOffsets = new Set<Offset>();

  constructor(
    private readonly log: EndpointLog,
    readonly directory: EndpointDirectory,
  ) {}

  /** Reads one record. */
  readNext(): void {
    const record = this.log.records[this.next];
    if (!record) {
      return;
    }
    this.next += 1;
    const { id, offset, entry } = record;
    this.readOffsets.add(offset);
    if (entry) {
      this.directory.apply(entry, offset);
    } else {
      this.directory.remove(brandId(id), offset);
    }
  }

  readAll(): void {
    while (this.next < this.log.records.length) {
      this.readNext();
    }
  }

  /** Reads the newest record of each key. */
  list(): void {
    const newest = new Map(this.log.records.map((record) => [record.id, record]));
    const present = [...newest.values()].filter(({ entry }) => entry);
    const end = brandId<Offset>(this.log.records.length);
    this.directory.retain(new Set(present.map(({ id }) => id)), end);
    present.forEach(({ entry, offset }) => this.directory.apply(entry!, offset));
    this.next = end;
  }

  /** Returns whether this reader has read the record that says that the known start of an endpoint leaves. */
  hasSeenGone(id: string): boolean {
    const known = this.directory.getEntries().find((entry) => entry.id === id);
    const goneOffset = known && this.log.getGoneOffset(known);
    return goneOffset !== undefined && this.readOffsets.has(goneOffset);
  }
}
