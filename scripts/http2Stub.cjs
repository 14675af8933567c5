// Stands in for Node's HTTP/2 module in the bundle. The daemon speaks HTTP/1.1 only, but the HTTP and RPC libraries load the
// module in any case, which takes a tenth of a start.
module.exports = { constants: {}, Http2ServerRequest: class {} };
