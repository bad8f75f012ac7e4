// Builds the program that runs on the users' machines: one file that holds only what a serving daemon uses.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/woodbarrow-serving.mjs',
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Libraries written for CommonJS load modules of Node.js by require.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  conditions: ['source'],
  logLevel: 'warning',
});
