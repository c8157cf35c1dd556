/** Holds the active configuration. The version only increases, in whatever order versions arrive. */
import type { Logger } from '../core/logging.js';
import type { Result } from '../core/results.js';
import type { GatewayConfig, Workspace } from '../types/gateway.js';
import { RouteTable } from './routeTable.js';

/** A configuration with its indexes. */
export interface ActiveConfig {
  readonly config: GatewayConfig;
  readonly routes: RouteTable;
  /** By key hash; `undefined` if callers need no keys. */
  readonly workspacesByKey: ReadonlyMap<string, Workspace> | undefined;
  /** The bytes as stored, sent to peers that can't reach the store. */
  readonly encodedBytes: Uint8Array;
}

/** Options of the controller. */
export interface ConfigControllerOptions {
  readonly logger: Logger;
  readonly decode: (bytes: Uint8Array) => Result<GatewayConfig, string>;
  /** Called after each change. */
  readonly onChange: (config: ActiveConfig) => void;
}

/** The source of a configuration. */
export type ConfigOrigin = 'store' | 'peer';

/** Decodes configurations and activates the newest. */
export class ConfigController {
  private active: ActiveConfig | undefined;

  constructor(private readonly options: ConfigControllerOptions) {}

  /** Returns the active configuration, or `undefined` before the first one. */
  getActive(): ActiveConfig | undefined {
    return this.active;
  }

  /** Returns the active version, or 0 if there is none. */
  getVersion(): number {
    return this.active?.config.version ?? 0;
  }

  /** Activates a configuration if its version is newer; one that can't be decoded is rejected. */
  apply(encodedBytes: Uint8Array, origin: ConfigOrigin): void {
    const { logger, decode, onChange } = this.options;
    const decoded = decode(encodedBytes);
    if (decoded.err) {
      logger.error('configuration rejected: decoding failed', { origin, detail: decoded.val });
      return;
    }
    const config = decoded.val;
    const previousVersion = this.getVersion();
    if (config.version <= previousVersion) {
      logger.info('configuration ignored: version is not newer', {
        origin,
        version: config.version,
        activeVersion: previousVersion,
      });
      return;
    }
    this.active = {
      config,
      routes: new RouteTable(config.routes),
      workspacesByKey: config.workspaces && indexByKey(config.workspaces),
      encodedBytes,
    };
    logger.info('configuration activated', {
      origin,
      version: config.version,
      previousVersion,
    });
    config.problems?.forEach((detail) =>
      logger.warn('configuration field ignored', { version: config.version, detail }),
    );
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
