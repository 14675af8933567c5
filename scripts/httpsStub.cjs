// Stands in for Node's HTTPS module in the bundle. The RPC library loads it with its client, and the daemons speak plain
// HTTP with each other.
module.exports = {
  request: () => {
    throw new Error("the daemon has no HTTPS client");
  },
};
