/** A stand-in of a plain runner, after the pages: slots, a short queue, kept connections, one request at a time on each. */
import * as net from "node:net";

const HEAD_END = "\r\n\r\n";

/** Splits the bytes of one connection into requests with a length or without a body. */
class RequestReader {
  #bytes = Buffer.alloc(0);

  /** Returns the requests that are complete with these bytes. */
  push(chunk) {
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    const requests = [];
    for (;;) {
      const end = this.#bytes.indexOf(HEAD_END);
      if (end < 0) return requests;
      const [line, ...fields] = this.#bytes.subarray(0, end).toString("latin1").split("\r\n");
      const headers = new Map(
        fields.map((each) => {
          const colon = each.indexOf(":");
          return [each.slice(0, colon).toLowerCase(), each.slice(colon + 1).trim()];
        }),
      );
      const next = end + HEAD_END.length + Number(headers.get("content-length") ?? 0);
      if (this.#bytes.length < next) return requests;
      const [method, target] = line.split(" ");
      const body = this.#bytes.subarray(end + HEAD_END.length, next).toString("latin1");
      requests.push({ method, target, headers, body, id: headers.get("x-request-id") });
      this.#bytes = this.#bytes.subarray(next);
    }
  }
}

/** Serves requests over raw connections; `answer` is called with each request and its socket. */
export class RawRunner {
  sockets = new Set();
  #server;

  constructor(id, answer) {
    this.id = id;
    this.#server = net.createServer((socket) => {
      const reader = new RequestReader();
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("data", (chunk) => {
        for (const request of reader.push(chunk)) answer(request, socket);
      });
      socket.on("error", () => undefined);
      socket.once("close", () => this.sockets.delete(socket));
    });
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Nothing listens any more; open connections stay. */
  stopListening() {
    this.#server.close();
  }

  stop() {
    this.#server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** The bytes of an answer with a length. */
export function answerBytes(status, id, headers, body) {
  const words = { 200: "OK", 404: "Not Found", 421: "Misdirected Request", 503: "Service Unavailable" };
  const fields = { "X-Request-Id": id, ...headers, "Content-Length": Buffer.byteLength(body) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} ${words[status]}\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}
