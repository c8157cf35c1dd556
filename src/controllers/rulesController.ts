/**
 * Keeps the newest known rules in force, read from the log or from a peer that has read further. The
 * rules in force never revert to an older version.
 */
import type { RulesVersion, StreamName } from '../types/ids.js';
import type { EditEntry } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { RulesResponse } from '../types/peers.js';
import type { RuleSet } from '../types/rules.js';
import type { TimerService } from '../core/timers.js';
import { assertNever } from '../core/utilities.js';
import { RulesProjection } from '../projections/rulesProjection.js';
import { StreamReader } from '../log/streamReader.js';
import { formatDiagnostic } from '../rules/diagnostics.js';
import { IncrementalChecker } from '../rules/incrementalChecker.js';

/** Options of the rules controller. */
export interface RulesControllerOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly pollMs?: number;
  /** Called when new rules come into force. */
  readonly onChange?: (rules: ActiveRules) => void;
  /** Called when an accepted version fails the check in this process. */
  readonly onError?: (message: string) => void;
}

/** A version of the rules, as text and as parsed. */
export interface ActiveRules {
  readonly version: RulesVersion;
  readonly lines: readonly string[];
  readonly set: RuleSet;
}

/** The rules of one process. */
export class RulesController {
  readonly reader: StreamReader<RulesProjection>;

  private readonly ruleIndex = new IncrementalChecker();

  private active: ActiveRules | undefined;

  /** The newest version seen, even if it failed the check. */
  private newestVersionSeen = -1;

  constructor(private readonly options: RulesControllerOptions) {
    const { log, timers, stream, pollMs } = options;
    this.reader = new StreamReader<RulesProjection>({
      log,
      timers,
      stream,
      pollMs,
      createProjection: () => new RulesProjection(),
    });
    this.reader.onChange(() => this.onLogChange());
  }

  /** Starts reading the log. */
  start(): void {
    this.reader.start();
  }

  /** Stops reading the log. */
  stop(): void {
    this.reader.stop();
  }

  /** Returns the rules in force, or `undefined` until the head of the log or a peer's rules have been read. */
  getActive(): ActiveRules | undefined {
    return this.active;
  }

  /** Returns the version in force, or 0 if there is none. */
  getVersion(): RulesVersion {
    return this.active?.version ?? (0 as RulesVersion);
  }

  /** Creates the response to a peer at version `after`: the edits since then, or the whole text. */
  createResponse(after: RulesVersion): RulesResponse {
    const edits = this.getEditsAfter(after);
    if (edits) {
      return { kind: 'edits', edits };
    }
    return { kind: 'text', version: this.getVersion(), lines: this.active?.lines ?? [] };
  }

  /** Applies the newest rules among the responses of several peers, if any has rules. */
  applyNewestResponse(responses: readonly RulesResponse[]): void {
    responses.forEach((response) => this.merge(response));
    const { projection } = this.reader;
    if (projection.version > 0) {
      this.adopt(projection.version, projection.lines);
    }
  }

  /** Applies the rules in a peer's response. */
  applyResponse(response: RulesResponse): void {
    this.merge(response);
    this.adopt(this.reader.projection.version, this.reader.projection.lines);
  }

  private merge(response: RulesResponse): void {
    const { projection } = this.reader;
    switch (response.kind) {
      case 'edits':
        response.edits.forEach((edit) => projection.apply(edit));
        break;
      case 'text':
        if (response.version > projection.version) {
          projection.version = response.version;
          projection.lines = response.lines;
        }
        break;
      default:
        assertNever(response);
    }
  }

  private getEditsAfter(after: RulesVersion): EditEntry[] | undefined {
    const accepted = [...this.reader.projection.decidedEdits.values()].filter(
      (edit) => edit.accepted && edit.version > after && edit.version <= this.getVersion(),
    );
    const isComplete = accepted.length === this.getVersion() - after;
    return isComplete ? accepted.map(({ entry }) => entry) : undefined;
  }

  private onLogChange(): void {
    if (this.reader.isReady()) {
      this.adopt(this.reader.projection.version, this.reader.projection.lines);
    }
  }

  private adopt(version: RulesVersion, lines: readonly string[]): void {
    if (version <= this.newestVersionSeen) {
      return;
    }
    this.newestVersionSeen = version;
    const checked = this.ruleIndex.update(lines);
    if (checked.err) {
      const messages = checked.val.map((problem) => formatDiagnostic(`rules@${version}`, problem));
      this.options.onError?.(messages.join('\n'));
      return;
    }
    this.active = { version, lines, set: checked.val };
    this.options.onChange?.(this.active);
  }
}
