// Bundles the platform's daemon into one file, so that a start reads and compiles only what serving needs.
import * as childProcess from "node:child_process";
import * as esbuild from "esbuild";

childProcess.execFileSync(process.execPath, ["node_modules/typescript/bin/tsc", "-b", "platform"], {
  stdio: "inherit",
});
await esbuild.build({
  entryPoints: ["platform/dist/src/main.js"],
  outfile: "target/gateway.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  external: ["dtrace-provider", "source-map-support", "mv", "safe-json-stringify", "moment"],
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
});
