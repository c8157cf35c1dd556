/** A keyed store in memory on virtual time, with each kind of fault. */
import { Err, Ok, type Result } from '../../src/core/results.js';
import type { TimerService } from '../../src/core/timers.js';
import type { Offset } from '../../src/types/ids.js';
import {
  KeyedStore,
  type KeyedAppendOptions,
  type KeyedPage,
  type KeyedReadOptions,
  type KeyedRecord,
  type NewestRecords,
  type StoreFailure,
  type Topic,
} from '../../src/types/store.js';
import type { PausableTimers } from './pausableTimers.js';

const LATENCY_MS = 2;
const TIMEOUT_MS = 700;

/** The store's own state. */
export class FakeStoreServer {
  private readonly topics = new Map<string, KeyedRecord[]>();

  private readonly firstOffsets = new Map<string, number>();

  /** When the appends to a partition that are waiting will be done. */
  private readonly busyUntil = new Map<string, number>();

  /** `appendMs` is how long one append takes; a partition takes them one after another. */
  constructor(
    readonly timers: TimerService,
    private readonly appendMs = 0,
  ) {}

  /** Appends in turn; one whose condition does not hold when it comes is refused at once. */
  async appendQueued(options: KeyedAppendOptions): Promise<Result<Offset, StoreFailure>> {
    const { name, part } = options.topic;
    const isPossible = this.getRecords(options.topic).length === options.at;
    if (this.appendMs > 0 && isPossible) {
      const key = `${name}/${part}`;
      const now = this.timers.now();
      const doneAt = Math.max(now, this.busyUntil.get(key) ?? 0) + this.appendMs;
      this.busyUntil.set(key, doneAt);
      await this.timers.sleep(doneAt - now);
    }
    return this.append(options);
  }

  getRecords({ name, part }: Topic): KeyedRecord[] {
    const key = `${name}/${part}`;
    const records = this.topics.get(key) ?? [];
    this.topics.set(key, records);
    return records;
  }

  getFirstOffset({ name, part }: Topic): number {
    return this.firstOffsets.get(`${name}/${part}`) ?? 0;
  }

  /** Forgets all records but the newest of each key. */
  trim(topic: Topic): void {
    this.firstOffsets.set(`${topic.name}/${topic.part}`, this.getRecords(topic).length);
  }

  append({ topic, key, value, at }: KeyedAppendOptions): Result<Offset, StoreFailure> {
    const records = this.getRecords(topic);
    if (records.length !== at) {
      return Err({ kind: 'conflict', end: records.length as Offset });
    }
    records.push({ key, value, offset: records.length as Offset });
    return Ok(records.length as Offset);
  }

  read({ topic, from }: KeyedReadOptions): Result<KeyedPage, StoreFailure> {
    const records = this.getRecords(topic);
    const first = this.getFirstOffset(topic);
    if (from < first) {
      return Err({ kind: 'trimmed', first: first as Offset });
    }
    const end = records.length as Offset;
    return Ok({ records: records.slice(from), next: end, end, malformed: [] });
  }

  readNewest(topic: Topic): Result<NewestRecords, StoreFailure> {
    const records = this.getRecords(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    return Ok({ records: [...newest.values()], end: records.length as Offset });
  }
}

/** What the path of one process to the store does wrong. */
export interface StoreFaults {
  /** Nothing is answered. */
  isPartitioned: boolean;
  /** So many of the next appends take effect and are not answered. */
  lostAnswers: number;
  /** So many of the next appends take effect later, if their condition still holds, and are not answered. */
  lateAppends: number;
  lateMs: number;
  slowMs: number;
}

/** Creates a path without faults. */
export function createStoreFaults(): StoreFaults {
  return { isPartitioned: false, lostAnswers: 0, lateAppends: 0, lateMs: 0, slowMs: 0 };
}

const UNAVAILABLE = { kind: 'unavailable', detail: 'simulated' } as const;

/** The store as one process reaches it. */
export class FakeStore extends KeyedStore {
  constructor(
    private readonly server: FakeStoreServer,
    private readonly process: PausableTimers,
    private readonly faults: StoreFaults,
  ) {
    super();
  }

  override readNewest(topic: Topic): Promise<Result<NewestRecords, StoreFailure>> {
    return this.call(() => this.server.readNewest(topic));
  }

  override read(options: KeyedReadOptions): Promise<Result<KeyedPage, StoreFailure>> {
    return this.call(() => this.server.read(options));
  }

  override async append(options: KeyedAppendOptions): Promise<Result<Offset, StoreFailure>> {
    const { faults, server } = this;
    if (!faults.isPartitioned && faults.lateAppends > 0) {
      faults.lateAppends -= 1;
      server.timers.subscribe(faults.lateMs, () => {
        server.append(options);
      });
      return this.timeOut();
    }
    const isLost = faults.lostAnswers > 0;
    faults.lostAnswers -= isLost ? 1 : 0;
    const result = await this.call(() => server.appendQueued(options));
    return isLost ? this.timeOut() : result;
  }

  private async call<Value>(
    act: () => Result<Value, StoreFailure> | Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    const { server, faults, process } = this;
    await server.timers.sleep(LATENCY_MS + faults.slowMs / 2);
    if (faults.isPartitioned) {
      return this.timeOut();
    }
    const result = await act();
    await server.timers.sleep(LATENCY_MS + faults.slowMs / 2);
    if (faults.isPartitioned) {
      return this.timeOut();
    }
    await process.whenRunning();
    return result;
  }

  private async timeOut<Value>(): Promise<Result<Value, StoreFailure>> {
    await this.server.timers.sleep(TIMEOUT_MS);
    await this.process.whenRunning();
    return Err(UNAVAILABLE);
  }
}
