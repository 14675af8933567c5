// Writes V8's code cache of the bundled daemon. The daemon is started and stopped once, because the cache holds only
// functions that have been compiled, and most of them are compiled when they are first called.
// Usage: node scripts/writeCodeCache.cjs BUNDLE CACHE PORT, where PORT and the next one are free
const fs = require("node:fs");
const { isBuiltin } = require("node:module");
const os = require("node:os");
const path = require("node:path");
const vm = require("node:vm");

/** Time for which the daemon runs before it is stopped, in milliseconds. */
const RUN_MS = 1_000;

const [, , bundlePath, cachePath, port] = process.argv;
const filename = path.resolve(bundlePath);
const script = new vm.Script(fs.readFileSync(filename, "latin1"), { filename });

/** Settings of a daemon that reaches no key-value service; port 0 lets the system choose a free one. */
function writeSettings() {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "code-cache-"));
  const settingsPath = path.join(folder, "settings.json");
  const address = "127.0.0.1:0";
  const settings = {
    "node-name": "build",
    ip: "127.0.0.1",
    zone: "build",
    region: "build",
    zones: { build: "build" },
    listen: { front: address, ready: address, directory: address },
    "internal-ports": [Number(port)],
    bounds: {
      "grace-s": 1,
      "retry-budget-ratio": 0.2,
      "budget-window-s": 10,
      "budget-extra": 1,
      ttl_max_s: 5,
    },
    platform: { address: "127.0.0.1:1" },
  };
  fs.writeFileSync(settingsPath, JSON.stringify(settings));
  return settingsPath;
}

/** Loads what the bundle may load at run time, see loadBundle.cjs. */
function requireBuiltin(name) {
  if (isBuiltin(name)) return require(name);
  throw Object.assign(new Error(`Cannot find module '${name}'`), { code: "MODULE_NOT_FOUND" });
}

const settingsPath = writeSettings();
process.argv = [process.execPath, filename, "--settings", settingsPath];
const exit = process.exit.bind(process);
process.exit = (code) => {
  fs.rmSync(path.dirname(settingsPath), { recursive: true });
  const temporaryFile = `${cachePath}.${process.pid}`;
  fs.writeFileSync(temporaryFile, script.createCachedData());
  fs.renameSync(temporaryFile, cachePath);
  exit(code);
};
setTimeout(() => process.emit("SIGTERM"), RUN_MS);
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, requireBuiltin, bundle, filename, path.dirname(filename));
