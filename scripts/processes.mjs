import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as path from "node:path";
import * as url from "node:url";

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const PROGRAMS = {
  daemon: "packages/daemon/dist/src/main.js",
  standIn: "packages/stand-ins/dist/src/main.js",
  tool: "packages/cli/dist/src/main.js",
};

/** @returns a port of the loopback that is free now */
export function freePort() {
  return new Promise((resolve) => {
    const server = net.createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Starts programs of the project as processes of their own and ends those that it started. */
export class Launcher {
  #children = new Set();

  /** Starts a program; its standard output is handed over line by line. */
  start(program, args, onLine = () => undefined) {
    const child = childProcess.spawn(process.execPath, [path.join(ROOT, PROGRAMS[program]), ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      lines.forEach(onLine);
    });
    return child;
  }

  /** Starts a stand-in and waits until it listens. */
  standIn(args) {
    return new Promise((resolve) => {
      const child = this.start("standIn", args, (line) => {
        const match = /^listening url=(\S+)$/.exec(line);
        if (match) resolve({ child, url: match[1] });
      });
    });
  }

  /** Runs the command-line tool to its end. */
  tool(args, environment) {
    return new Promise((resolve) => {
      const child = childProcess.spawn(process.execPath, [path.join(ROOT, PROGRAMS.tool), ...args], {
        env: { ...process.env, ...environment },
        stdio: ["ignore", "pipe", "pipe"],
      });
      let output = "";
      child.stdout.on("data", (chunk) => (output += chunk));
      child.stderr.on("data", (chunk) => (output += chunk));
      child.once("exit", (code) => resolve({ code, output }));
    });
  }

  /** Ends every process that is still running. */
  stopAll() {
    for (const child of this.#children) child.kill("SIGKILL");
  }
}

/** Waits until a condition holds, up to a limit. */
export async function until(condition, limitMs = 10_000) {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    if (await condition().catch(() => false)) return true;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return false;
}

/** Reads JSON from an address. */
export async function readJson(address, options) {
  const reply = await fetch(address, options);
  return reply.json();
}
