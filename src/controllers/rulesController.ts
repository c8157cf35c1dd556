/**
 * Keeps the newest rules that this process could learn in force: from the log, or from a peer that
 * has read further. What is in force never goes back to an older version.
 */
import type { RulesVersion, StreamName } from '../types/ids.js';
import type { EditEntry } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { RulesAnswer } from '../types/peers.js';
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
  /** Called when other rules come into force. */
  readonly onChange?: (rules: RulesInForce) => void;
  /** Called where an accepted version does not pass this process's check. */
  readonly onError?: (message: string) => void;
}

/** Rules together with what they were made from. */
export interface RulesInForce {
  readonly version: RulesVersion;
  readonly lines: readonly string[];
  readonly set: RuleSet;
}

/** The rules of one process. */
export class RulesController {
  readonly reader: StreamReader<RulesProjection>;

  private readonly ruleIndex = new IncrementalChecker();

  private inForce: RulesInForce | undefined;

  /** The newest version seen, whether or not it passed the check. */
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

  /** Starts following the log. */
  start(): void {
    this.reader.start();
  }

  /** Stops following the log. */
  stop(): void {
    this.reader.stop();
  }

  /** Returns the rules in force; none before the log's head or a peer's proof was seen. */
  getInForce(): RulesInForce | undefined {
    return this.inForce;
  }

  /** Returns the version in force, 0 for none. */
  getVersion(): RulesVersion {
    return this.inForce?.version ?? (0 as RulesVersion);
  }

  /** Answers a peer that has an older version. */
  createAnswer(after: RulesVersion): RulesAnswer {
    const edits = this.getEditsAfter(after);
    if (edits) {
      return { kind: 'edits', edits };
    }
    return { kind: 'text', version: this.getVersion(), lines: this.inForce?.lines ?? [] };
  }

  /** Takes over the newest of what several peers proved; nothing where none has any rules. */
  applyNewestResponse(answers: readonly RulesAnswer[]): void {
    answers.forEach((answer) => this.merge(answer));
    const { projection: fold } = this.reader;
    if (fold.version > 0) {
      this.adopt(fold.version, fold.lines);
    }
  }

  /** Takes over what a peer proved. */
  applyResponse(answer: RulesAnswer): void {
    this.merge(answer);
    this.adopt(this.reader.projection.version, this.reader.projection.lines);
  }

  private merge(answer: RulesAnswer): void {
    const { projection: fold } = this.reader;
    switch (answer.kind) {
      case 'edits':
        answer.edits.forEach((edit) => fold.apply(edit));
        break;
      case 'text':
        if (answer.version > fold.version) {
          fold.version = answer.version;
          fold.lines = answer.lines;
        }
        break;
      default:
        assertNever(answer);
    }
  }

  private getEditsAfter(after: RulesVersion): EditEntry[] | undefined {
    const accepted = [...this.reader.projection.decidedEdits.values()].filter(
      (edit) => edit.accepted && edit.version > after && edit.version <= this.getVersion(),
    );
    const complete = accepted.length === this.getVersion() - after;
    return complete ? accepted.map(({ entry }) => entry) : undefined;
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
    this.inForce = { version, lines, set: checked.val };
    this.options.onChange?.(this.inForce);
  }
}
