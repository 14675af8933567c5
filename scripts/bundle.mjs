// Bundles the platform's daemon into one file, so that a start only reads and compiles the code that serving needs.
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as events from "node:events";
import * as fs from "node:fs";
import * as net from "node:net";
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

/** @returns a port that is free now */
async function freePort() {
  const server = net.createServer().listen(0, "127.0.0.1");
  await events.once(server, "listening");
  const { port } = server.address();
  server.close();
  return port;
}

/** V8 rejects a cache that was made under other flags than those of the deploy file. */
const FLAGS = ["--max-old-space-size=160"];

/** Attempts to write the code cache: another build on the machine may take the same ports at the same moment. */
const CACHE_ATTEMPTS = 3;

/** Time after which an attempt counts as failed, in milliseconds. */
const CACHE_TIMEOUT_MS = 20_000;

/** Writes the code cache of a bundle. Without one the daemon works as well, and starts more slowly. */
async function writeCodeCache(bundlePath) {
  for (let attempt = 1; attempt <= CACHE_ATTEMPTS; attempt++) {
    const options = ["scripts/writeCodeCache.cjs", bundlePath, `${bundlePath}.cache`, String(await freePort())];
    const { status } = childProcess.spawnSync(process.execPath, [...FLAGS, ...options], {
      stdio: ["ignore", "ignore", "inherit"],
      timeout: CACHE_TIMEOUT_MS,
    });
    if (status === 0) return;
  }
  process.stderr.write(`no code cache was written in ${CACHE_ATTEMPTS} attempts; the daemon starts more slowly\n`);
}

/**
 * Omits the standard input from the default context of the command line library: it opens a stream at each start, which
 * takes 5 ms, and no command reads it.
 */
const withoutStandardInput = {
  name: "without-standard-input",
  setup(build) {
    const opening = "stdin: process.stdin,";
    build.onLoad({ filter: /clipanion\/lib\/advanced\/Cli\.js$/ }, ({ path }) => {
      const source = fs.readFileSync(path, "utf8");
      if (!source.includes(opening)) throw new Error(`${path} does not open the standard input as expected`);
      return { contents: source.replace(opening, "stdin: undefined,") };
    });
  },
};

const { outputFiles } = await esbuild.build({
  // The alias files import parts of these packages, which must resolve to the packages and not to the aliases again.
  plugins: [
    withoutStandardInput,
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
  // The loader compiles the file as it is, and reads it as one byte a character.
  charset: "ascii",
  banner: { js: "(function (exports, require, module, __filename, __dirname) {" },
  footer: { js: "})" },
  minifySyntax: true,
  minifyWhitespace: true,
  alias: {
    undici: "./scripts/undiciClient.cjs",
    "hdr-histogram-js": "./scripts/histogramBuilder.cjs",
    http2: "./scripts/http2Stub.cjs",
    "node:http2": "./scripts/http2Stub.cjs",
    https: "./scripts/httpsStub.cjs",
    "node:https": "./scripts/httpsStub.cjs",
    "node:zlib": "./scripts/lazyZlib.cjs",
    assert: "./scripts/lazyAssert.cjs",
    "node:assert": "./scripts/lazyAssert.cjs",
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
await writeCodeCache(`${TARGET}/${bundleName}`);
const loader = fs.readFileSync("scripts/loadBundle.cjs", "utf8");
replaceFile(`${TARGET}/gateway.cjs`, loader.replace('"BUNDLE_NAME"', JSON.stringify(bundleName)));
