// Runs the bundled daemon with the code cache of its build: compiling the bundle would
// take half of the processor time that the start takes beyond that of Node.js itself.
const fs = require("node:fs");
const { isBuiltin } = require("node:module");
const path = require("node:path");
const vm = require("node:vm");

const filename = path.join(__dirname, "BUNDLE_NAME");

function readCache() {
  try {
    return fs.readFileSync(`${filename}.cache`);
  } catch {
    // Without a cache the bundle is compiled.
    return undefined;
  }
}

/**
 * The bundle contains all packages that serving needs. Others that a package would use if they are installed (the log
 * library's file rotation, for example) are not loaded.
 */
function requireBuiltin(name) {
  if (isBuiltin(name)) return require(name);
  throw Object.assign(new Error(`Cannot find module '${name}'`), { code: "MODULE_NOT_FOUND" });
}

const cachedData = readCache();
// The bundle is a function in ASCII, see bundle.mjs: it needs no decoding.
const script = new vm.Script(fs.readFileSync(filename, "latin1"), {
  filename,
  ...(cachedData === undefined ? {} : { cachedData }),
});
if (script.cachedDataRejected === true)
  process.stderr.write(
    "the code cache does not fit this version of V8 or its flags: the bundle is compiled at each start\n",
  );
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, requireBuiltin, bundle, filename, __dirname);
