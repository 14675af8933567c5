// Exports the parts of the HTTP client that the daemon uses: loading the rest (fetch, WebSocket, caches) would waste
// processor time and memory at each start.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

// As the package's own entry point does: adds request() and related methods to every dispatcher.
Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

module.exports = {
  Client: require("undici/lib/dispatcher/client.js"),
  Pool: require("undici/lib/dispatcher/pool.js"),
};
