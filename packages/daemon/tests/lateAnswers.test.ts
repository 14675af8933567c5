import * as http from "node:http";
import * as net from "node:net";
import * as standIns from "@camphorcourse/stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

/** An endpoint that misbehaves as the call's body says. */
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
const suite = uvu.suite("late, crossed and cut answers, over sockets");

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
 * The endpoint answers a call with the answer to another one. The nonce tells;
 * the caller is told that the outcome is unknown, and nothing is sent again.
 */
suite("an answer to another call is never passed on", async () => {
  const word = await send("crossed");
  assert.is(word.status, 502);
  assert.is(word.outcome, "unknown");
  assert.not.match(word.text, "answer to another call");
  assert.is(received.filter((body) => body === "crossed").length, 1);
});

/*
 * The endpoint's answer breaks off. The caller gets no half answer but the word
 * that the outcome is unknown, and the call is not sent again.
 */
suite("half an answer is never passed on", async () => {
  const word = await send("cut");
  assert.is(word.outcome, "unknown");
  assert.not.match(word.text, "half of it");
  assert.is(received.filter((body) => body === "cut").length, 1);
});

/*
 * The endpoint says itself that it did not run the call. It is tried again within
 * the budget, and the caller's final word is "not run".
 */
suite("an endpoint's own refusal is passed on as not run", async () => {
  const word = await send("refused");
  assert.is(word.outcome, "not-run");
  assert.ok(received.filter((body) => body === "refused").length >= 1);
});

/*
 * A caller asks for a stream and then takes nothing in, without closing. The
 * daemon goes on serving others meanwhile.
 */
suite("a caller that reads nothing harms nobody else", async () => {
  const { port } = new URL(fleet.daemon(0).url);
  const body = JSON.stringify({ model: "assist-llm", prompt: "x", max_tokens: 2000, stream: true });
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${standIns.TEAM_TOKEN}\r\ncontent-length: ${body.length}\r\n\r\n`;
  const socket = net.connect(Number(port), "127.0.0.1", () => socket.write(head + body));
  socket.pause();
  const read = await standIns.readStream(await fleet.requestCompletion(0, "meanwhile", 10));
  assert.ok(read.complete);
  // The endpoint has failed three times above and rests for a while.
  assert.ok(await standIns.waitUntil(async () => (await send("fine")).text === "done fine"));
  socket.destroy();
});

suite.run();
