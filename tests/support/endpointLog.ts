/** The store's topic of endpoint entries and readers that follow it at their own pace. */
import type { EndpointDirectory } from '../../src/gateway/endpointDirectory.js';
import type { EndpointEntry } from '../../src/types/gateway.js';
import { brandId, type Offset, type VmId } from '../../src/types/ids.js';

/** What an endpoint, or the store on its behalf, writes next. */
export interface LogStep {
  readonly kind: 'start' | 'renew' | 'leave' | 'remove' | 'expire';
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
}

/** The log. Offsets are indexes. */
export class EndpointLog {
  readonly records: LogRecord[] = [];

  private readonly truths = new Map<string, EndpointTruth>();

  constructor(private readonly template: EndpointEntry) {}

  /** Writes what the step says if the endpoint is in a state that allows it. */
  write({ kind, endpoint }: LogStep): void {
    const id = `e${endpoint}`;
    const truth = this.truths.get(id);
    if (kind === 'start') {
      if (!truth || truth.state === 'gone') {
        const startedAtMs = (truth?.startedAtMs ?? 0) + 1;
        this.truths.set(id, { startedAtMs, sequence: 0, state: 'live' });
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

  /** Returns whether a start of an endpoint has ended or has announced that it leaves. */
  isGone(id: string, startedAtMs: number): boolean {
    const truth = this.truths.get(id)!;
    return (
      truth.startedAtMs > startedAtMs ||
      (truth.startedAtMs === startedAtMs && (truth.state === 'gone' || truth.state === 'leaving'))
    );
  }

  createReader(directory: EndpointDirectory): LogReader {
    return new LogReader(this, directory);
  }

  private continueEndpoint(id: string, truth: EndpointTruth, kind: LogStep['kind']): void {
    const isListed = truth.state === 'live' || truth.state === 'leaving';
    if (kind === 'renew' && (truth.state === 'live' || truth.state === 'expired')) {
      truth.state = 'live';
      this.writeEntry(id);
    } else if (kind === 'leave' && truth.state === 'live') {
      truth.state = 'leaving';
      this.writeEntry(id);
    } else if (kind === 'remove' && isListed) {
      truth.state = 'gone';
      this.append(id, undefined);
    } else if (kind === 'expire' && truth.state === 'live') {
      truth.state = 'expired';
      this.append(id, undefined);
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
    this.append(id, entry);
  }

  private append(id: string, entry: EndpointEntry | undefined): void {
    this.records.push({ id, offset: brandId(this.records.length), entry });
  }
}

/** One reader of the log. */
export class LogReader {
  private next = 0;

  /** The start of each endpoint whose removal or leaving this reader has read record by record. */
  private readonly goneStarts = new Map<string, number>();

  private readonly lastStarts = new Map<string, number>();

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
    if (entry) {
      this.directory.apply(entry, offset);
      this.lastStarts.set(id, Math.max(entry.startedAtMs, this.lastStarts.get(id) ?? 0));
    } else {
      this.directory.remove(brandId(id), offset);
    }
    const start = this.lastStarts.get(id);
    if (start !== undefined && (!entry || entry.state === 'leaving')) {
      this.goneStarts.set(id, start);
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

  /** Returns whether this reader has read that the newest start of an endpoint it knows is gone, and it is in fact. */
  hasSeenGone(id: string): boolean {
    const start = this.goneStarts.get(id);
    const [used] = this.directory.getEntries().filter((entry) => entry.id === id);
    return start !== undefined && used?.startedAtMs === start && this.log.isGone(id, start);
  }
}
