/**
 * A stand-in of a plain runner as a process, after the pages: it answers with neither a length nor chunks, writes its body in
 * pieces while it works, and ends the answer with the connection.
 */
import * as runners from "./runner.mjs";

const [id, pieces = "8", pieceMs = "15"] = process.argv.slice(2);
const note = (...fields) => process.stdout.write(`${fields.join(" ")}\n`);

/** The piece of a body; 100 bytes with its line end. */
const piece = (request, number) => `${request.id} piece ${number} `.padEnd(99, ".") + "\n";

function answer(request, socket) {
  const head = ["HTTP/1.1 200 OK", `X-Request-Id: ${request.id}`, `X-Response-Seal: seal.${id}`, "Connection: close"];
  note("begin", request.id);
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  let written = 0;
  const timer = setInterval(() => {
    written++;
    socket.write(piece(request, written));
    if (written < Number(pieces)) return;
    clearInterval(timer);
    note("end", request.id, written);
    socket.end();
  }, Number(pieceMs));
  socket.once("close", () => clearInterval(timer));
}

const runner = new runners.RawRunner(id, (request, socket) => {
  const expected = request.headers.get("x-expect-instance");
  const isOther = expected !== undefined && expected !== id;
  if (isOther) socket.write(runners.answerBytes(421, request.id, { "X-Not-Executed": "1", "X-Instance-Id": id }, ""));
  else if (request.target.startsWith("/camphorcourse/")) socket.write(runners.answerBytes(404, "none", {}, ""));
  else answer(request, socket);
});

await runner.start();
note("listening", runner.address);
