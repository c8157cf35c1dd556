/**
 * The result types of ts-results. The package is CommonJS: Node shows it to a module as a default export, and a bundler
 * by its names, so they are taken from either here, once.
 */
import * as library from 'ts-results';

const namespace: object = library;
const names = 'default' in namespace ? (namespace.default as typeof library) : library;

export const { Ok, Err } = names;

export type { Result } from 'ts-results';
