/**
 * The result types of ts-results. The package is CommonJS whose names Node can't see from a module, so
 * they are taken from its default export here, once.
 */
import tsResults from 'ts-results';

export const { Ok, Err } = tsResults;

export type { Result } from 'ts-results';
