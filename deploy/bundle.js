// Bundles the entry process into one file, so that it starts quickly and loads only what it uses.
import { build } from 'esbuild'

await build({
  entryPoints: ['src/cli/entry/index.ts'],
  outfile: 'target/worksward-entry.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  external: ['cbor-extract'],
  banner: { js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);" }
})
