/**
 * Bundles the program for the users' platform into one file under `target/`,
 * because loading its some hundred modules makes each start take several
 * times as long. The state charts are copied to `target/charts`, since the
 * program reads them from files at run time.
 */
import {build} from 'esbuild';
import {cpSync, mkdirSync} from 'node:fs';
import {join, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname ?? '.', '..');
const TARGET_DIR = join(ROOT, 'target');

/**
 * Has the same folder depth as in the package `core`, because the program looks
 * for the charts four folders above its own.
 */
const BUNDLE_FILE = join(
  TARGET_DIR,
  'dist/src/core/app/azurecrank_platform.mjs',
);

const packageEntryPoint = name => join(ROOT, 'packages', name, 'src/index.ts');

mkdirSync(TARGET_DIR, {recursive: true});
await build({
  entryPoints: [join(ROOT, 'platform/src/main.ts')],
  outfile: BUNDLE_FILE,
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias: {
    '@azurecrank/core': packageEntryPoint('core'),
    '@azurecrank/forwarding': packageEntryPoint('forwarding'),
    azurecrank: packageEntryPoint('azurecrank'),
  },
  // Optional native addon of cbor-x, which works without it.
  external: ['cbor-extract'],
  banner: {
    js: "import {createRequire as makeRequire} from 'node:module';const require=makeRequire(import.meta.url);",
  },
});
cpSync(join(ROOT, 'packages/core/charts'), join(TARGET_DIR, 'charts'), {
  recursive: true,
});
