/** Creates and publishes edits of the rules. */
import { randomUUID } from 'node:crypto';
import { diffArrays } from 'diff';
import type { RulesVersion, StreamName } from '../types/ids.js';
import type { EditEntry, LineChange } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { TimerService } from '../core/timers.js';
import { brandId } from '../types/ids.js';
import {
  RulesProjection,
  getRulesDigest,
  type DecidedEdit,
} from '../projections/rulesProjection.js';
import { StreamReader } from '../log/streamReader.js';
import { StreamWriter } from '../log/streamWriter.js';

/** Splits the text of a rules file into lines, without trailing empty lines. */
export function splitRulesText(text: string): string[] {
  const lines = text.split(/\r?\n/);
  while (lines.length > 0 && lines.at(-1) === '') {
    lines.pop();
  }
  return lines;
}

/**
 * Computes the line changes that transform one text into another.
 *
 * @example
 * computeLineChanges(['a'], ['a', 'b']); // [{ at: 1, remove: 0, insert: ['b'] }]
 */
export function computeLineChanges(
  before: readonly string[],
  after: readonly string[],
): LineChange[] {
  const changes: LineChange[] = [];
  let position = 0;
  let openChange: { at: number; remove: number; insert: string[] } | undefined;
  diffArrays([...before], [...after]).forEach((change) => {
    if (!change.added && !change.removed) {
      openChange = undefined;
      position += change.value.length;
      return;
    }
    if (!openChange) {
      openChange = { at: position, remove: 0, insert: [] };
      changes.push(openChange);
    }
    if (change.added) {
      openChange.insert.push(...change.value);
    } else {
      openChange.remove += change.value.length;
      position += change.value.length;
    }
  });
  return changes;
}

/** Creates an edit that replaces the text of a base version. */
export function createEdit(options: {
  readonly base: RulesVersion;
  readonly before: readonly string[];
  readonly after: readonly string[];
  readonly author: string;
}): EditEntry {
  const { base, before, after, author } = options;
  return {
    kind: 'edit',
    edit: randomUUID(),
    base,
    author,
    changes: computeLineChanges(before, after),
    digest: getRulesDigest(after),
  };
}

/** Options of a `RulesSession`. */
export interface RulesSessionOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  /** Timeout of reads and edits, in milliseconds. Default 15,000. */
  readonly timeoutMs?: number;
}

/** A short-lived session on the rules stream: reads the accepted rules and publishes edits. */
export class RulesSession {
  private readonly reader: StreamReader<RulesProjection>;

  private readonly timeoutMs: number;

  constructor(private readonly options: RulesSessionOptions) {
    this.timeoutMs = options.timeoutMs ?? 15_000;
    this.reader = new StreamReader<RulesProjection>({
      log: options.log,
      timers: options.timers,
      stream: options.stream,
      pollMs: 1_000,
      createProjection: () => new RulesProjection(),
    });
    this.reader.start();
  }

  /** Returns the accepted rules, or `undefined` if the log cannot be read within the timeout. */
  async getHead(): Promise<RulesProjection | undefined> {
    const ready = await this.reader.waitFor(() => this.reader.isReady(), this.timeoutMs);
    return ready ? this.reader.projection : undefined;
  }

  /** Publishes an edit and returns its result, or `undefined` if that is not known within the timeout. */
  async publish(edit: EditEntry): Promise<DecidedEdit | undefined> {
    const { log, timers, stream } = this.options;
    const incarnation = `editor-${edit.edit}`;
    const writer = new StreamWriter({ log, timers, stream, incarnation: brandId(incarnation) });
    writer.append(edit);
    await this.reader.waitFor(
      () => this.reader.projection.decidedEdits.has(edit.edit),
      this.timeoutMs,
    );
    writer.stop();
    return this.reader.projection.decidedEdits.get(edit.edit);
  }

  /** Ends the session. */
  close(): void {
    this.reader.stop();
  }
}
