/** Holds the newest configuration. Versions only go forward, whatever order they are heard in. */
import type { Logger } from '../core/logging.js';
import type { Result } from '../core/results.js';
import type { GatewayConfig, Workspace } from '../types/gateway.js';
import { RouteTable } from './routeTable.js';

/** A configuration with its indexes. */
export interface ActiveConfig {
  readonly config: GatewayConfig;
  readonly routes: RouteTable;
  /** By key hash; `undefined` where callers need no keys. */
  readonly workspacesByKey: ReadonlyMap<string, Workspace> | undefined;
  /** The bytes as stored, for peers that can't reach the store. */
  readonly encodedBytes: Uint8Array;
}

/** Options of the controller. */
export interface ConfigControllerOptions {
  readonly logger: Logger;
  readonly decode: (bytes: Uint8Array) => Result<GatewayConfig, string>;
  /** Called after each change. */
  readonly onChange: (config: ActiveConfig) => void;
}

/** Where a configuration was heard of. */
export type ConfigOrigin = 'store' | 'peer';

/** The configuration in force. */
export class ConfigController {
  private active: ActiveConfig | undefined;

  constructor(private readonly options: ConfigControllerOptions) {}

  /** Returns what is in force, or `undefined` before the first version. */
  getActive(): ActiveConfig | undefined {
    return this.active;
  }

  /** Returns the version in force, 0 for none. */
  getVersion(): number {
    return this.active?.config.version ?? 0;
  }

  /** Takes a version in where it is newer; what can't be decoded leaves the one in force. */
  apply(source: Uint8Array, origin: ConfigOrigin): void {
    const { logger, decode, onChange } = this.options;
    const decoded = decode(source);
    if (decoded.err) {
      logger.error('configuration rejected', { origin, detail: decoded.val });
      return;
    }
    const config = decoded.val;
    const previousVersion = this.getVersion();
    if (config.version <= previousVersion) {
      logger.info('configuration ignored', {
        origin,
        version: config.version,
        inForce: previousVersion,
      });
      return;
    }
    this.active = {
      config,
      routes: new RouteTable(config.routes),
      workspacesByKey: config.workspaces && indexByKey(config.workspaces),
      encodedBytes: source,
    };
    logger.info('configuration in force', {
      origin,
      version: config.version,
      before: previousVersion,
    });
    onChange(this.active);
  }
}

function indexByKey(workspaces: readonly Workspace[]): Map<string, Workspace> {
  const byKey = new Map<string, Workspace>();
  workspaces.forEach((workspace) => {
    workspace.keyHashes.forEach((hash) => byKey.set(hash, workspace));
  });
  return byKey;
}
