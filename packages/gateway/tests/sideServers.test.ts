import type * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as sideServers from "../src/sideServers.js";

const suite = uvu.suite("HTTP servers beside the callers' one");

const BOUNDS = { maxConnections: 10, maxRequests: 10 };

const handlers = {
  "/state": () => ({ status: 503, body: "not ready" }),
  "/named": (query: URLSearchParams) => ({ body: query.get("name") ?? "", contentType: "application/json" }),
  "/broken": () => {
    throw new Error("a fault in a handler");
  },
};

suite("they answer the paths that they know, and no others", async () => {
  const server = await sideServers.listen(handlers, { host: "127.0.0.1", port: 0 }, BOUNDS);
  const { port } = server.address() as net.AddressInfo;
  const get = (target: string, method = "GET"): Promise<Response> =>
    fetch(`http://127.0.0.1:${port}${target}`, { method });
  try {
    const state = await get("/state");
    assert.equal([state.status, await state.text()], [503, "not ready"]);
    const named = await get("/named?name=%7Ba%7D&other=b");
    assert.equal(
      [named.status, await named.text(), named.headers.get("content-type")],
      [200, "{a}", "application/json"],
    );
    assert.is((await get("/state", "HEAD")).status, 503);
    assert.is((await get("/state", "POST")).status, 404);
    assert.is((await get("/constructor")).status, 404);
    assert.is((await get("/state/")).status, 404);
  } finally {
    server.close();
  }
});

// Guards against a fault in a handler that ends the daemon with all its callers.
suite("a fault in a handler fails its request only", async () => {
  const server = await sideServers.listen(handlers, { host: "127.0.0.1", port: 0 }, BOUNDS);
  const { port } = server.address() as net.AddressInfo;
  try {
    assert.is((await fetch(`http://127.0.0.1:${port}/broken`)).status, 500);
    assert.is((await fetch(`http://127.0.0.1:${port}/named?name=a`)).status, 200);
  } finally {
    server.close();
  }
});

// Guards against a daemon that starts although one of its addresses is taken.
suite("an address that is taken is reported", async () => {
  const server = await sideServers.listen(handlers, { host: "127.0.0.1", port: 0 }, BOUNDS);
  const { port } = server.address() as net.AddressInfo;
  try {
    await sideServers.listen(handlers, { host: "127.0.0.1", port }, BOUNDS);
    assert.unreachable("the address was taken");
  } catch (error) {
    assert.is((error as NodeJS.ErrnoException).code, "EADDRINUSE");
  } finally {
    server.close();
  }
});

suite.run();
