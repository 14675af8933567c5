// Bundles the platform's daemon into one file, so that a start reads and compiles only what serving needs.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import { fileURLToPath } from "node:url";
import * as esbuild from "esbuild";

childProcess.execFileSync(process.execPath, ["node_modules/typescript/bin/tsc", "-b", "platform"], {
  stdio: "inherit",
});
const OUTPUT = "target/gateway.mjs";
const unfinished = `${OUTPUT}.${process.pid}`;
await esbuild.build({
  // The alias itself must reach the package.
  plugins: [
    {
      name: "package-parts",
      setup(build) {
        build.onResolve({ filter: /^(undici|hdr-histogram-js)\// }, ({ path }) => ({
          path: fileURLToPath(import.meta.resolve(path)),
        }));
      },
    },
  ],
  entryPoints: ["platform/dist/src/main.js"],
  outfile: unfinished,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { undici: "./scripts/undiciClient.cjs", "hdr-histogram-js": "./scripts/histogramBuilder.cjs" },
  external: ["dtrace-provider", "source-map-support", "mv", "safe-json-stringify", "moment"],
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
});
// Put in place at once: a daemon that starts meanwhile must not read half of it.
fs.renameSync(unfinished, OUTPUT);
