import * as childProcess from "node:child_process";
import * as url from "node:url";

/** The project's programs, by the name of their package folder. */
export enum Program {
  Daemon = "daemon",
  StandIn = "stand-ins",
  Tool = "cli",
}

/** A stand-in that runs as a separate process. */
export interface StandInProcess {
  readonly child: childProcess.ChildProcess;
  readonly url: string;
}

/** The result of a run of the command-line tool. */
export interface ToolRun {
  /** Exit code; 1 if the process was ended by a signal. */
  readonly code: number;
  /** Standard output and standard error in order of arrival. */
  readonly output: string;
}

const POLL_INTERVAL_MS = 50;

/**
 * Starts the project's programs as separate processes for the demo, the
 * measurements and the failure tests, and kills the ones it started.
 */
export class Launcher {
  readonly #children = new Set<childProcess.ChildProcess>();

  /**
   * Starts a program.
   *
   * @param program - the program to start
   * @param args - its command-line arguments
   * @param onLine - called with each line of its standard output
   * @returns the child process
   */
  start(
    program: Program,
    args: readonly string[],
    onLine: (line: string) => void = () => undefined,
  ): childProcess.ChildProcess {
    const child = childProcess.spawn(process.execPath, [mainFilePath(program), ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    let partialLine = "";
    child.stdout.on("data", (chunk: Buffer) => {
      const lines = (partialLine + chunk.toString("utf8")).split("\n");
      partialLine = lines.pop() ?? "";
      lines.forEach(onLine);
    });
    return child;
  }

  /**
   * Starts a stand-in.
   *
   * @param args - kind and flags of the stand-in
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
   * Runs the command-line tool to its end.
   *
   * @param args - command-line arguments
   * @param environment - environment variables added to those of this process
   * @returns its exit code and output
   */
  runTool(args: readonly string[], environment: Readonly<Record<string, string>>): Promise<ToolRun> {
    return new Promise((resolve) => {
      const child = childProcess.spawn(process.execPath, [mainFilePath(Program.Tool), ...args], {
        env: { ...process.env, ...environment },
        stdio: ["ignore", "pipe", "pipe"],
      });
      let output = "";
      const appendOutput = (chunk: Buffer): void => {
        output += chunk.toString("utf8");
      };
      child.stdout.on("data", appendOutput);
      child.stderr.on("data", appendOutput);
      child.once("exit", (code) => {
        resolve({ code: code ?? 1, output });
      });
    });
  }

  /** Kills every process started by `start` or `startStandIn` that is still running. */
  stopAll(): void {
    for (const child of this.#children) child.kill("SIGKILL");
  }
}

/**
 * Polls a condition until it holds or the time limit is reached.
 *
 * @param condition - the condition; an error counts as false
 * @param timeoutMs - time limit in milliseconds
 * @returns whether the condition held in time
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs = 20_000): Promise<boolean> {
  const deadline = Date.now() + timeoutMs;
  while (Date.now() < deadline) {
    const holds = await Promise.resolve()
      .then(condition)
      .catch(() => false);
    if (holds) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return false;
}

function mainFilePath(program: Program): string {
  return url.fileURLToPath(new URL(`../../../${program}/dist/src/main.js`, import.meta.url));
}
