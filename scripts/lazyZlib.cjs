// Loads Node's compression module at its first use: the RPC library names its functions when it is loaded, and daemons
// compress their calls to each other rarely, if ever, before the first request.
const load = require;

/** @returns a function that calls the named one of the compression module */
function lazy(name) {
  return (...values) => load("node:zlib")[name](...values);
}

module.exports = {
  gzip: lazy("gzip"),
  gunzip: lazy("gunzip"),
  brotliCompress: lazy("brotliCompress"),
  brotliDecompress: lazy("brotliDecompress"),
};
