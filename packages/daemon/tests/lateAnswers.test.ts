import * as http from "node:http";
import * as net from "node:net";
import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

/** An endpoint whose failure is selected by the request body. */
const endpoint = http.createServer((request, response) => {
  let body = "";
  request.on("data", (chunk: Buffer) => (body += chunk.toString()));
  request.on("end", () => {
    received.push(body);
    const id = request.headers["x-request-id"];
    if (body === "crossed") response.writeHead(200, { "x-request-id": "another call's" }).end("answer to another call");
    else if (body === "cut") response.writeHead(200, { "x-request-id": id, "content-length": 100 }).write("half of it");
    else if (body === "refused") response.writeHead(503, { "x-outcome": "not-run" }).end();
    else response.writeHead(200, { "x-request-id": id }).end(`done ${body}`);
    if (body === "cut") setTimeout(() => response.destroy(), 50);
  });
});
const received: string[] = [];

const fleet = new standIns.Fleet({ engines: 1, services: 1, daemons: 1 });
const suite = uvu.suite("mismatched, truncated and refused answers, over sockets");

suite.before(async () => {
  await new Promise<void>((resolve) => endpoint.listen(0, "127.0.0.1", resolve));
  await fleet.startProcesses();
  const { port } = endpoint.address() as net.AddressInfo;
  const [replaced] = fleet.services;
  if (replaced) fleet.services[0] = { ...replaced, url: `http://127.0.0.1:${port}` };
  await fleet.configure();
  await fleet.waitUntilConnected();
});
suite.after(() => {
  endpoint.close();
  endpoint.closeAllConnections();
  fleet.stop();
});

async function send(body: string): Promise<{ status: number; outcome: string | null; text: string }> {
  const reply = await fleet.printLabel(0, `key-${body}`, body);
  return { status: reply.status, outcome: reply.headers.get("x-outcome"), text: await reply.text() };
}

/*
 * The endpoint returns the answer to another call, which its request id reveals.
 * The caller gets outcome "unknown", and the call is not retried.
 */
suite("an answer to another call is never forwarded", async () => {
  const result = await send("crossed");
  assert.is(result.status, 502);
  assert.is(result.outcome, "unknown");
  assert.not.match(result.text, "answer to another call");
  assert.is(received.filter((body) => body === "crossed").length, 1);
});

/*
 * The endpoint closes the connection in the middle of its answer. The caller gets
 * outcome "unknown" instead of half an answer, and the call is not retried.
 */
suite("a truncated answer is never forwarded", async () => {
  const result = await send("cut");
  assert.is(result.outcome, "unknown");
  assert.not.match(result.text, "half of it");
  assert.is(received.filter((body) => body === "cut").length, 1);
});

/*
 * The endpoint reports that it did not run the call. The call may be retried
 * within the budget, and the caller's final outcome is "not-run".
 */
suite("a call refused by the endpoint ends as not run", async () => {
  const result = await send("refused");
  assert.is(result.outcome, "not-run");
  assert.ok(received.filter((body) => body === "refused").length >= 1);
});

/*
 * A caller requests a stream and never reads it, without closing its connection.
 * The daemon must continue to serve other callers.
 */
suite("a caller that never reads doesn't affect other callers", async () => {
  const { port } = new URL(fleet.daemon(0).url);
  const body = JSON.stringify({ model: "assist-llm", prompt: "x", max_tokens: 2000, stream: true });
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${standIns.TEAM_TOKEN}\r\ncontent-length: ${body.length}\r\n\r\n`;
  const socket = net.connect(Number(port), "127.0.0.1", () => socket.write(head + body));
  socket.pause();
  const read = await standIns.readStream(await fleet.requestCompletion(0, "meanwhile", 10));
  assert.ok(read.complete);
  // The endpoint has failed three times in the tests above and is in backoff for a while.
  assert.ok(await standIns.waitUntil(async () => (await send("fine")).text === "done fine"));
  socket.destroy();
});

suite.run();
