/** A proxy on a link. Its open connections may go silent for good, without a reset, while new ones work. */
import * as net from "node:net";

/** The proxy of one link. */
export class Link {
  #target;
  #pairs = new Set();
  #server = net.createServer({ allowHalfOpen: true }, (near) => this.#connect(near));

  /** @param target - IP:PORT that it leads to */
  constructor(target) {
    this.#target = target;
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** From now on nothing passes on the connections that are open, either way; they stay open. */
  silence() {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }

  stop() {
    this.#server.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }

  #connect(near) {
    const [host, port] = this.#target.split(":");
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.on("data", (bytes) => {
        if (!pair.isSilent) to.write(bytes);
      });
      from.on("end", () => {
        if (!pair.isSilent) to.end();
      });
      from.on("error", () => undefined);
      from.on("close", () => {
        if (!pair.isSilent) to.destroy();
        if (near.destroyed && far.destroyed) this.#pairs.delete(pair);
      });
    }
  }
}
