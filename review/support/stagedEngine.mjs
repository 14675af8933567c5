/**
 * A stand-in of a model runner with a stage as a process, after the pages: a `prefill` runner reads prompts and keeps them under
 * a handle; a `decode` runner streams, and reads the prompt itself at half the speed where no handle is given. Prompts are read
 * one after the other. A request starts to run with its first token; an event contains several tokens. A runner drops a request
 * when its connection closes.
 */
import * as runners from "./runner.mjs";

const [id, stage] = process.argv.slice(2);
const note = (...fields) => process.stdout.write(`${fields.join(" ")}\n`);

/** Prompt tokens that a runner reads in a millisecond, from the sheet; a decode runner reads at half the speed. */
const TOKENS_PER_MS = stage === "prefill" ? 92.1 : 92.1 / 2;
/** Time for a token, and tokens in an event: the head and the first event are written once its tokens are there. */
const TOKEN_MS = 20;
const TOKENS_PER_EVENT = 5;
/** Time until the memory of a prompt has come from another runner. */
const FETCH_MS = 5;

const answer = (status, request, headers, body = "") =>
  runners.answerBytes(status, request.id ?? "none", { "X-Instance-Id": id, ...headers }, body);
const json = (request, body) => answer(200, request, { "Content-Type": "application/json" }, JSON.stringify(body));

let readUntil = 0;
let handles = 0;

/** Calls back once the runner has read so many tokens, after what it reads already. */
function afterReading(tokens, callback) {
  const now = performance.now();
  readUntil = Math.max(now, readUntil) + tokens / TOKENS_PER_MS;
  return setTimeout(callback, readUntil - now);
}

function prefill(request, socket) {
  const [tokens] = request.headers.get("x-token-counts").split(",").map(Number);
  note("prefill", request.id);
  afterReading(tokens, () => {
    handles++;
    note("prefilled", request.id);
    socket.write(json(request, { "kv-handle": `${id}-${handles}`, tokens, version: 1 }));
  });
}

function run(request, socket) {
  const [tokens, pieces] = request.headers.get("x-token-counts").split(",").map(Number);
  const source = request.headers.get("x-kv-source");
  note("accepted", request.id, source === undefined ? "reads-itself" : `with ${source}`);
  let made = Number(request.headers.get("last-event-id") ?? 0);
  let written = made;
  let isHeadWritten = false;
  let making;
  const write = () => {
    if (!isHeadWritten) {
      const head = ["HTTP/1.1 200 OK", `X-Request-Id: ${request.id}`, `X-Response-Seal: seal.${id}`];
      socket.write(
        `${[...head, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"].join("\r\n")}\r\n\r\n`,
      );
      isHeadWritten = true;
    }
    const text = `id: ${made}\ndata: tokens ${written + 1} to ${made} of ${request.id}\n\n`;
    written = made;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  };
  const make = () => {
    made++;
    if (made === pieces || made - written === TOKENS_PER_EVENT) write();
    if (made < pieces) return;
    end();
    note("end", request.id);
    socket.write("0\r\n\r\n");
  };
  const begin = () => {
    note("runs", request.id);
    making = setInterval(make, TOKEN_MS);
    make();
  };
  const reading = source === undefined ? afterReading(tokens, begin) : setTimeout(begin, FETCH_MS);
  const end = () => {
    clearTimeout(reading);
    clearInterval(making);
    socket.off("close", onClose);
  };
  const onClose = () => {
    note("dropped", request.id, "tokens", made);
    end();
  };
  socket.once("close", onClose);
}

const runner = new runners.RawRunner(id, (request, socket) => {
  const expected = request.headers.get("x-expect-instance");
  const wanted = request.headers.get("x-serving-stage") === "prefill" ? "prefill" : "decode";
  if (request.target === "/camphorcourse/report") {
    const models = [{ name: "m", version: 1, adapters: [] }];
    const counts = { waiting: 0, running: 0, "kv-used": 0, "kv-total": 540686, "kv-handles": 0 };
    socket.write(json(request, { stage, models, busy: false, sequence: 0, ...counts }));
  } else if (request.target.startsWith("/camphorcourse/kv-handle/")) {
    note("freed", request.target.split("/").at(-1));
    socket.write(answer(200, request, {}));
  } else if (request.target.startsWith("/camphorcourse/")) {
    note("call", request.method, request.target);
    socket.write(answer(404, request, {}));
  } else if ((expected !== undefined && expected !== id) || wanted !== stage) {
    socket.write(answer(421, request, { "X-Not-Executed": "1" }));
  } else if (wanted === "prefill") {
    prefill(request, socket);
  } else {
    run(request, socket);
  }
});

await runner.start();
note("listening", runner.address);
