import * as childProcess from "node:child_process";
import * as url from "node:url";

/** The programs of the project. */
export enum Program {
  Daemon = "daemon",
  StandIn = "stand-ins",
  Tool = "cli",
}

/** A stand-in that runs as a process of its own. */
export interface StandInProcess {
  readonly child: childProcess.ChildProcess;
  readonly url: string;
}

/** How a run of the command-line tool ended. */
export interface ToolRun {
  readonly code: number;
  readonly output: string;
}

const POLL_MS = 50;

/**
 * Starts programs of the project as processes of their own, for the demo, the
 * measurements and the tests of failures, and ends those that it started.
 */
export class Launcher {
  readonly #children = new Set<childProcess.ChildProcess>();

  /**
   * @param program - what to start
   * @param args - its arguments
   * @param onLine - told of each line of its standard output
   * @returns the process
   */
  start(
    program: Program,
    args: readonly string[],
    onLine: (line: string) => void = () => undefined,
  ): childProcess.ChildProcess {
    const child = childProcess.spawn(process.execPath, [pathOf(program), ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    let rest = "";
    child.stdout.on("data", (chunk: Buffer) => {
      const lines = (rest + chunk.toString("utf8")).split("\n");
      rest = lines.pop() ?? "";
      lines.forEach(onLine);
    });
    return child;
  }

  /**
   * @param args - kind and flags of a stand-in
   * @returns the process, once it listens
   */
  startStandIn(args: readonly string[]): Promise<StandInProcess> {
    return new Promise((resolve) => {
      const child = this.start(Program.StandIn, args, (line) => {
        const address = /^listening url=(\S+)$/.exec(line)?.[1];
        if (address !== undefined) resolve({ child, url: address });
      });
    });
  }

  /**
   * @param args - of the command-line tool
   * @param environment - its variables
   * @returns how it ended
   */
  runTool(args: readonly string[], environment: Readonly<Record<string, string>>): Promise<ToolRun> {
    return new Promise((resolve) => {
      const child = childProcess.spawn(process.execPath, [pathOf(Program.Tool), ...args], {
        env: { ...process.env, ...environment },
        stdio: ["ignore", "pipe", "pipe"],
      });
      let output = "";
      const gather = (chunk: Buffer): void => {
        output += chunk.toString("utf8");
      };
      child.stdout.on("data", gather);
      child.stderr.on("data", gather);
      child.once("exit", (code) => {
        resolve({ code: code ?? 1, output });
      });
    });
  }

  /** Ends every process that is still running. */
  stopAll(): void {
    for (const child of this.#children) child.kill("SIGKILL");
  }
}

/**
 * @param condition - asked again and again; an error counts as false
 * @param limitMs - longest wait
 * @returns whether it came to hold
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, limitMs = 20_000): Promise<boolean> {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    const holds = await Promise.resolve()
      .then(condition)
      .catch(() => false);
    if (holds) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return false;
}

function pathOf(program: Program): string {
  return url.fileURLToPath(new URL(`../../../${program}/dist/src/main.js`, import.meta.url));
}
