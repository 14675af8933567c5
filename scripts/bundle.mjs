// Bundles the platform's daemon into one file, so that a start only reads and compiles the code that serving needs.
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import { fileURLToPath } from "node:url";
import * as esbuild from "esbuild";

childProcess.execFileSync(process.execPath, ["node_modules/typescript/bin/tsc", "-b", "platform"], {
  stdio: "inherit",
});
const TARGET = "target";

/** Replaces a file atomically: a daemon that starts during the build must not read an incomplete file. */
function replaceFile(path, content) {
  const temporaryFile = `${path}.${process.pid}`;
  fs.writeFileSync(temporaryFile, content);
  fs.renameSync(temporaryFile, path);
}

const { outputFiles } = await esbuild.build({
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
  write: false,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  alias: {
    undici: "./scripts/undiciClient.cjs",
    "hdr-histogram-js": "./scripts/histogramBuilder.cjs",
    http2: "./scripts/http2Stub.cjs",
    "node:http2": "./scripts/http2Stub.cjs",
  },
  external: ["dtrace-provider", "source-map-support", "mv", "safe-json-stringify", "moment"],
});

// The bundle and its code cache are named by their content, so that a daemon never combines files of different builds.
const [bundle] = outputFiles;
const digest = crypto.createHash("sha256").update(bundle.contents).digest("hex").slice(0, 16);
const bundleName = `gateway-${digest}.js`;
fs.mkdirSync(TARGET, { recursive: true });
replaceFile(`${TARGET}/${bundleName}`, bundle.contents);
const cacheFile = `${TARGET}/${bundleName}.cache`;
// V8 rejects a cache that was made under other flags than those of the deploy file.
const flags = ["--max-old-space-size=160"];
childProcess.execFileSync(
  process.execPath,
  [...flags, "scripts/writeCodeCache.cjs", `${TARGET}/${bundleName}`, cacheFile],
  { stdio: ["ignore", "ignore", "inherit"] },
);
const loader = fs.readFileSync("scripts/loadBundle.cjs", "utf8");
replaceFile(`${TARGET}/gateway.cjs`, loader.replace('"BUNDLE_NAME"', JSON.stringify(bundleName)));
