/**
 * Bundles the program for deployment into `target/`: a process that reads one file for each command starts in a third of
 * the time that it takes with a file for each module.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

// Files of earlier builds have other names.
rmSync('target', { recursive: true, force: true });

await build({
  entryPoints: ['src/daemons/shallotrock.ts'],
  // As deep as the compiler's output, so that paths relative to a module hold in both.
  outdir: 'target/src/daemons',
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  // Packages whose CommonJS form can't be bundled have their modules taken.
  mainFields: ['module', 'main'],
  banner: {
    // CommonJS packages load Node's own modules by `require`.
    js: "import { createRequire } from 'node:module';\nconst require = createRequire(import.meta.url);",
  },
  sourcemap: 'linked',
  logLevel: 'warning',
});
