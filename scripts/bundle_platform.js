/**
 * Bundles the program for the users' platform into one file under `target/`,
 * because loading some hundred modules takes several times as long at each
 * start. State charts are read from files at run time and are copied along.
 */
import {build} from 'esbuild';
import {cpSync, mkdirSync} from 'node:fs';
import {join, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname ?? '.', '..');
const TARGET = join(ROOT, 'target');

/** Charts are found four folders above, as in the package `core`. */
const OUT_FILE = join(TARGET, 'dist/src/core/app/azurecrank_platform.mjs');

const source = name => join(ROOT, 'packages', name, 'src/index.ts');

mkdirSync(TARGET, {recursive: true});
await build({
  entryPoints: [join(ROOT, 'platform/src/main.ts')],
  outfile: OUT_FILE,
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias: {
    '@azurecrank/core': source('core'),
    '@azurecrank/forwarding': source('forwarding'),
    azurecrank: source('azurecrank'),
  },
  // Native parts of the codec are optional; the bundle does without them.
  external: ['cbor-extract'],
  banner: {
    js: "import {createRequire as makeRequire} from 'node:module';const require=makeRequire(import.meta.url);",
  },
});
cpSync(join(ROOT, 'packages/core/charts'), join(TARGET, 'charts'), {
  recursive: true,
});
