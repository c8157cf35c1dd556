/** An in-memory log on virtual time with fault injection. */
import { Err, Ok, type Result } from '../../src/core/results.js';
import type { TimerService, Unsubscribe } from '../../src/core/timers.js';
import type { Offset, StreamName } from '../../src/types/ids.js';
import { LogService, type LogFailure, type LogPage } from '../../src/types/platform.js';
import { InMemoryStream } from '../../standins/inMemoryStream.js';
import type { PausableTimers } from './pausableTimers.js';

const LATENCY_MS = 3;
const TIMEOUT_MS = 400;
const PAGE_RECORDS = 500;

/** The log service: the stored streams and the faults that affect all clients. */
export class FakeLogServer {
  readonly streams = new Map<string, InMemoryStream>();

  outage = false;

  slowMs = 0;

  retentionMs = Number.POSITIVE_INFINITY;

  /** Called for each record before it is returned to readers. */
  onAppend: (name: string, offset: Offset, data: Uint8Array) => void = () => {};

  private readonly waiters = new Set<() => void>();

  constructor(readonly timers: TimerService) {}

  getStream(name: string): InMemoryStream {
    const stream = this.streams.get(name) ?? new InMemoryStream();
    this.streams.set(name, stream);
    if (Number.isFinite(this.retentionMs)) {
      stream.trimBefore(this.timers.now() - this.retentionMs);
    }
    return stream;
  }

  /** Trims a stream to its last records. */
  trimToLast(name: string, count: number): void {
    this.getStream(name).trimToLast(count);
  }

  append(name: string, data: Uint8Array): Offset {
    const offset = this.getStream(name).append(data, this.timers.now());
    this.onAppend(name, offset, data);
    [...this.waiters].forEach((wake) => wake());
    return offset;
  }

  waitForAppend(maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      let cancel: Unsubscribe = () => {};
      const finish = () => {
        this.waiters.delete(finish);
        cancel();
        resolve();
      };
      cancel = this.timers.subscribe(maxMs, finish);
      this.waiters.add(finish);
    });
  }
}

/** The log client of one process, with the faults of its connection. */
export class FakeLog extends LogService {
  /** Whether the process is partitioned from the log. */
  isPartitioned = false;

  /** The number of further appends that are stored but whose response is lost. */
  loseAnswers = 0;

  /** The number of further appends that fail for the client but are stored twice, the second time later. */
  duplicatedAppends = 0;

  constructor(
    private readonly server: FakeLogServer,
    private readonly process: PausableTimers,
  ) {
    super();
  }

  override async append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, LogFailure>> {
    const { server, process } = this;
    await server.timers.sleep(LATENCY_MS + server.slowMs);
    if (this.isPartitioned || server.outage) {
      return this.fail();
    }
    if (this.duplicatedAppends > 0) {
      this.duplicatedAppends -= 1;
      server.append(stream, data);
      server.timers.subscribe(5 * TIMEOUT_MS, () => server.append(stream, data));
      return this.fail();
    }
    const offset = server.append(stream, data);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return this.fail();
    }
    await process.whenRunning();
    return Ok(offset);
  }

  override async read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
  ): Promise<Result<LogPage, LogFailure>> {
    const { server, process } = this;
    await server.timers.sleep(LATENCY_MS + server.slowMs);
    const deadlineMs = server.timers.now() + waitMs;
    while (
      !this.isUnavailable() &&
      server.getStream(stream).getHeadOffset() <= from &&
      server.timers.now() < deadlineMs
    ) {
      await server.waitForAppend(Math.min(500, deadlineMs - server.timers.now()));
    }
    if (this.isUnavailable()) {
      return this.fail();
    }
    await process.whenRunning();
    const stored = server.getStream(stream);
    const first = stored.getFirstOffset();
    if (from < first) {
      return Err({ kind: 'trimmed', first });
    }
    return Ok({ first, head: stored.getHeadOffset(), records: stored.read(from, PAGE_RECORDS) });
  }

  private isUnavailable(): boolean {
    return this.isPartitioned || this.server.outage;
  }

  private async fail(): Promise<Result<never, LogFailure>> {
    await this.server.timers.sleep(TIMEOUT_MS);
    await this.process.whenRunning();
    return Err({ kind: 'unavailable', detail: 'simulated' });
  }
}
