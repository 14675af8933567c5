// Bundles the platform's daemon into one file, so that a start only reads and compiles the code that serving needs.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import { fileURLToPath } from "node:url";
import * as esbuild from "esbuild";

childProcess.execFileSync(process.execPath, ["node_modules/typescript/bin/tsc", "-b", "platform"], {
  stdio: "inherit",
});
const BUNDLE_PATH = "target/gateway.mjs";
const temporaryFile = `${BUNDLE_PATH}.${process.pid}`;
await esbuild.build({
  // The alias files import parts of these packages, which must resolve to the packages and not to the aliases again.
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
  outfile: temporaryFile,
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
// Replaced atomically: a daemon that starts during the build must not read an incomplete file.
fs.renameSync(temporaryFile, BUNDLE_PATH);
