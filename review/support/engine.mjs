/**
 * A stand-in of a model runner as a process, after the pages: it streams events with increasing ids, answers with neither a
 * length nor chunks where it is told so, and ends its streams with their connection. SIGTERM ends the process at once, as at
 * the end of the time for which a leaving runner goes on: the system closes what is still open.
 */
import * as runners from "./runner.mjs";

const [id, framing = "close", eventMs = "100"] = process.argv.slice(2);
const note = (...fields) => process.stdout.write(`${fields.join(" ")}\n`);

const json = (status, request, body) =>
  runners.answerBytes(status, request.id ?? "none", { "Content-Type": "application/json" }, JSON.stringify(body));

function stream(request, socket) {
  const pieces = Number(request.headers.get("x-token-counts")?.split(",")[1] ?? 10);
  const from = Number(request.headers.get("last-event-id") ?? 0);
  const isChunked = framing === "chunked";
  const frame = (text) => (isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text);
  const head = [
    "HTTP/1.1 200 OK",
    `X-Request-Id: ${request.id}`,
    `X-Response-Seal: seal.${id}`,
    "X-Weight-Versions: 1",
    `X-Instance-Id: ${id}`,
    "Content-Type: text/event-stream",
    isChunked ? "Transfer-Encoding: chunked" : "Connection: close",
  ];
  note("begin", request.id, "after", from, "of", pieces);
  let next = from + 1;
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  const timer = setInterval(() => {
    if (next <= pieces) {
      note("event", request.id, next);
      socket.write(frame(`id: ${next}\ndata: piece ${next} of ${request.id}\n\n`));
      next++;
      return;
    }
    clearInterval(timer);
    note("end", request.id);
    if (isChunked) socket.write("0\r\n\r\n");
    else socket.end();
  }, Number(eventMs));
  socket.once("close", () => {
    clearInterval(timer);
    if (next <= pieces) note("dropped", request.id, "at", next - 1);
  });
}

const runner = new runners.RawRunner(id, (request, socket) => {
  const expected = request.headers.get("x-expect-instance");
  if (expected !== undefined && expected !== id) {
    socket.write(runners.answerBytes(421, request.id, { "X-Not-Executed": "1", "X-Instance-Id": id }, ""));
  } else if (request.target === "/camphorcourse/report") {
    const models = [{ name: "m", version: 1, adapters: [] }];
    const counts = { waiting: 0, running: 0, "kv-used": 0, "kv-total": 500000, "kv-handles": 0 };
    socket.write(json(200, request, { stage: "decode", models, busy: false, sequence: 0, ...counts }));
  } else if (request.target.startsWith("/camphorcourse/")) {
    note("call", request.method, request.target);
    socket.write(json(404, request, {}));
  } else {
    stream(request, socket);
  }
});

await runner.start();
process.once("SIGTERM", () => process.exit(0));
note("listening", runner.address);
