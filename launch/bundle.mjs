/**
 * Bundles the program for deployment into `target/`: a process that reads one file per command starts in a third of
 * the time that it takes with one file per module.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

// Files of earlier builds have other names, so that a build does not overwrite them.
rmSync('target', { recursive: true, force: true });

await build({
  entryPoints: ['src/daemons/shallotrock.ts'],
  // Same depth as in the compiler's output, so that paths relative to a module resolve in both.
  outdir: 'target/src/daemons',
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  // Prefers ES modules: the CommonJS builds of some packages can't be bundled.
  mainFields: ['module', 'main'],
  banner: {
    // CommonJS packages load Node's built-in modules by `require`.
    js: "import { createRequire } from 'node:module';\nconst require = createRequire(import.meta.url);",
  },
  sourcemap: 'linked',
  logLevel: 'warning',
});
