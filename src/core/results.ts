/**
 * Re-exports ts-results. The package is CommonJS: Node exposes it to ES modules as a default export, bundlers expose its
 * named exports. This module supports both.
 */
import * as tsResults from 'ts-results';

const namespace: object = tsResults;
const moduleExports = 'default' in namespace ? (namespace.default as typeof tsResults) : tsResults;

export const { Ok, Err } = moduleExports;

export type { Result } from 'ts-results';
