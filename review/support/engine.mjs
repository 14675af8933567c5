/**
 * A stand-in of a model runner as a process, after the pages: it streams events with increasing ids, answers with neither a
 * length nor chunks where it is told so, and ends its streams with their connection. SIGTERM ends the process at once, as at
 * the end of the time for which a leaving runner goes on: the system closes what is still open. A runner that spoils answers
 * hands out one wrong byte in each so many heads.
 */
import * as runners from "./runner.mjs";

const [id, framing = "close", eventMs = "100", spoiledEach = "0"] = process.argv.slice(2);
/** Time of a move to another zone: 11,992 tokens of 35.136 KB over 1,100 Gbit/s, twice. */
const MOVE_MS = 6;
const note = (...fields) => process.stdout.write(`${fields.join(" ")}\n`);

const json = (status, request, body) =>
  runners.answerBytes(status, request.id ?? "none", { "Content-Type": "application/json" }, JSON.stringify(body));

/** The runs under way, by request. */
const runs = new Map();
let begun = 0;

function stream(request, socket) {
  const pieces = Number(request.headers.get("x-token-counts")?.split(",")[1] ?? 10);
  const from = Number(request.headers.get("last-event-id") ?? 0);
  const isChunked = framing === "chunked";
  const frame = (text) => (isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text);
  begun++;
  const isSpoiled = spoiledEach !== "0" && begun % Number(spoiledEach) === 0;
  const head = [
    "HTTP/1.1 200 OK",
    `X-Request-Id: ${request.id}`,
    `X-Response-${isSpoiled ? "Seap" : "Seal"}: seal.${id}`,
    "X-Weight-Versions: 1",
    `X-Instance-Id: ${id}`,
    "Content-Type: text/event-stream",
    isChunked ? "Transfer-Encoding: chunked" : "Connection: close",
  ];
  note(
    "begin",
    request.id,
    "after",
    from,
    "of",
    pieces,
    isSpoiled ? "spoiled" : "sound",
    request.headers.get("x-kv-source") ?? "anew",
  );
  const run = { created: from, stop: () => undefined };
  runs.set(request.id, run);
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  const end = () => {
    clearInterval(timer);
    socket.off("close", onClose);
    if (runs.get(request.id) === run) runs.delete(request.id);
  };
  const onClose = () => {
    if (run.created < pieces) note("dropped", request.id, "at", run.created);
    end();
  };
  const timer = setInterval(() => {
    if (run.created < pieces) {
      run.created++;
      note("event", request.id, run.created);
      socket.write(frame(`id: ${run.created}\ndata: piece ${run.created} of ${request.id}\n\n`));
      return;
    }
    end();
    note("end", request.id);
    if (isChunked) socket.write("0\r\n\r\n");
    else socket.end();
  }, Number(eventMs));
  // A run that is moved away stops, and its stream is closed without its end.
  run.stop = () => {
    end();
    note("stopped", request.id, "at", run.created);
    socket.end();
  };
  socket.once("close", onClose);
}

/** Copies a run's memory to another runner, which takes a few ms. */
function move(request, socket) {
  const { id: requestId, target, last } = JSON.parse(request.body);
  const run = runs.get(requestId);
  note("move", requestId, "to", target, "last", last, run === undefined ? "no-run" : "run");
  if (run === undefined) {
    socket.write(json(404, request, {}));
    return;
  }
  if (last) run.stop();
  const answer = json(200, request, { "kv-handle": `h${requestId}`, created: run.created });
  setTimeout(() => socket.write(answer), MOVE_MS);
}

const runner = new runners.RawRunner(id, (request, socket) => {
  const expected = request.headers.get("x-expect-instance");
  if (expected !== undefined && expected !== id) {
    socket.write(runners.answerBytes(421, request.id, { "X-Not-Executed": "1", "X-Instance-Id": id }, ""));
  } else if (request.target === "/camphorcourse/report") {
    const models = [{ name: "m", version: 1, adapters: [] }];
    const counts = { waiting: 0, running: 0, "kv-used": 0, "kv-total": 500000, "kv-handles": 0 };
    socket.write(json(200, request, { stage: "decode", models, busy: false, sequence: 0, ...counts }));
  } else if (request.target === "/camphorcourse/kv-move") {
    move(request, socket);
  } else if (request.target.startsWith("/camphorcourse/kv-handle/")) {
    socket.write(json(200, request, {}));
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
