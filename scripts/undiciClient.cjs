// What the daemon uses of the HTTP client: loading the rest (fetch, web sockets, caches) at each start costs
// processor time and memory for nothing.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

// The package's own entry adds request() and its kin to every dispatcher.
Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

module.exports = {
  Client: require("undici/lib/dispatcher/client.js"),
  Pool: require("undici/lib/dispatcher/pool.js"),
  buildConnector: require("undici/lib/core/connect.js"),
};
