/**
 * Reports the calls that a crash of their endpoint broke off. A broken connection alone is no crash: the report
 * is sent only if the endpoint no longer accepts connections.
 */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { getErrorMessage, getOrCreate } from '../core/utilities.js';
import type { EndpointEntry } from '../types/gateway.js';
import type { VmId } from '../types/ids.js';
import type { CrashReport, PeerClient } from '../types/peers.js';
import type { CrashedCall, CrashId } from '../types/poison.js';
import type { EndpointProbe } from './endpointProbe.js';

/** Options of the reporter. */
export interface CrashReporterOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly client: PeerClient;
  readonly probe: EndpointProbe;
  readonly vm: VmId;
  /** Returns the vms that decide about crashes, the first choice first; may include this vm. */
  readonly getCoordinators: () => readonly VmId[];
  /** Handles a report that this vm decides about itself. */
  readonly decide: (report: CrashReport) => void;
}

const GATHER_MS = 20; // the connections of one endpoint end within a few milliseconds of each other
const REPORT_TIMEOUT_MS = 200;
const CALLS_MAX = 200;
/** A second coordinator keeps the evidence, in case the first one ends. */
const COPIES = 2;

/** Calls broken off at one start of one endpoint that are not reported yet. */
interface PendingReport {
  readonly endpoint: EndpointEntry;
  readonly brokenAt: number;
  readonly calls: CrashedCall[];
}

/** The reports of this process. */
export class CrashReporter {
  private readonly pending = new Map<CrashId, PendingReport>();

  private openReportCount = 0;

  constructor(private readonly options: CrashReporterOptions) {}

  /** Records a call whose connection broke before the endpoint had begun to answer it. */
  recordBroken(endpoint: EndpointEntry, call: CrashedCall): void {
    const crash = `${endpoint.id}@${endpoint.startedAtMs}` as CrashId;
    const report = getOrCreate(this.pending, crash, () => this.startReport(crash, endpoint));
    if (report.calls.length < CALLS_MAX) {
      report.calls.push(call);
    }
  }

  /** Returns whether every recorded call has been reported or dropped. */
  isIdle(): boolean {
    return this.openReportCount === 0;
  }

  private startReport(crash: CrashId, endpoint: EndpointEntry): PendingReport {
    const report = { endpoint, brokenAt: this.options.timers.now(), calls: [] };
    this.openReportCount += 1;
    this.finishReport(crash, report)
      .catch((error: unknown) => {
        this.options.logger.error('reporting a crash failed unexpectedly', {
          crash,
          error: (error as Error).stack,
        });
      })
      .finally(() => {
        this.openReportCount -= 1;
      });
    return report;
  }

  private async finishReport(crash: CrashId, report: PendingReport): Promise<void> {
    const { timers, logger, metrics, probe } = this.options;
    const { endpoint, brokenAt, calls } = report;
    const [isListening] = await Promise.all([probe.isListening(endpoint), timers.sleep(GATHER_MS)]);
    this.pending.delete(crash);
    metrics.brokenEndpoints.inc({ state: isListening ? 'listening' : 'crashed' });
    logger.info('calls broken off before an answer', {
      endpoint: endpoint.id,
      startedAtMs: endpoint.startedAtMs,
      calls: calls.length,
      hasCrashed: !isListening,
    });
    if (!isListening) {
      await this.send({ crash, ageMs: timers.now() - brokenAt, calls, shouldDecide: true });
    }
  }

  /** Sends the report to the first coordinator that responds, which decides, and a copy to the next one. */
  private async send(report: CrashReport): Promise<void> {
    let copies = 0;
    const coordinators = this.options.getCoordinators();
    for (let index = 0; index < coordinators.length && copies < COPIES; index += 1) {
      // Sequential: only the first coordinator that responds decides.
      const isSent = await this.sendTo(coordinators[index]!, {
        ...report,
        shouldDecide: copies === 0,
      });
      copies += isSent ? 1 : 0;
    }
    if (copies === 0) {
      this.options.decide(report);
    }
  }

  private async sendTo(coordinator: VmId, report: CrashReport): Promise<boolean> {
    const { client, logger, vm, decide } = this.options;
    if (coordinator === vm) {
      decide(report);
      return true;
    }
    try {
      await client.call(coordinator, 'crash.report', report, REPORT_TIMEOUT_MS);
      return true;
    } catch (error) {
      const { crash } = report;
      const detail = getErrorMessage(error);
      logger.info('crash report not delivered', { crash, coordinator, detail });
      return false;
    }
  }
}
