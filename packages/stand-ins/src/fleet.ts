import type * as childProcess from "node:child_process";
import * as common from "@camphorcourse/common";
import type * as faults from "./faults.js";
import * as launcher from "./launcher.js";
import type * as standIn from "./standIn.js";

/** Bearer token of the team that every fleet is configured with. */
export const TEAM_TOKEN = "leoben-token";
/** Bearer token of the platform operator, used for the administration API. */
export const OPERATOR_TOKEN = "operator-token";

const ADMIN_TIMEOUT_MS = 10_000;
const DATA_CENTRES = ["halle-a", "halle-b", "halle-c"];

/** A daemon that runs as a separate process. */
export interface DaemonProcess {
  readonly vm: string;
  readonly child: childProcess.ChildProcess;
  /** Address for callers. */
  readonly url: string;
  /** Address of the administration API. */
  readonly adminUrl: string;
}

/** The number of processes of a fleet and their command-line flags. */
export interface FleetOptions {
  readonly engines: number;
  readonly services: number;
  readonly daemons: number;
  readonly engineFlags?: readonly string[];
  readonly daemonFlags?: readonly string[];
  readonly serviceFlags?: readonly string[];
}

/** Settings of a fleet's team document that differ from the defaults. */
export interface DocumentOptions {
  /** Role of each engine by index; further engines are mixed. */
  readonly roles?: readonly string[];
  /** Names of endpoints that are draining. */
  readonly draining?: readonly string[];
  readonly checksFencing?: boolean;
  /** Deadline of the plain service in milliseconds. */
  readonly plainDeadlineMs?: number;
  /** Maximum number of concurrent calls per endpoint of the plain service. */
  readonly perEndpoint?: number;
}

/** A fleet of daemons and of stand-ins for the platform services and the endpoints, each a separate process. */
export class Fleet {
  readonly launcher = new launcher.Launcher();
  readonly engines: launcher.StandInProcess[] = [];
  readonly services: launcher.StandInProcess[] = [];
  readonly daemons: DaemonProcess[] = [];
  readonly #options: FleetOptions;
  #keyValue: launcher.StandInProcess | undefined;
  #vmList: launcher.StandInProcess | undefined;
  #version = 0;

  /** @param options - process counts and flags */
  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** @returns the address of the key-value service */
  get keyValueUrl(): string {
    return this.#keyValue?.url ?? "";
  }

  /** @returns the address of the VM list */
  get vmListUrl(): string {
    return this.#vmList?.url ?? "";
  }

  /**
   * Starts all processes, applies the team document and waits until all daemons are connected to each other.
   *
   * @param documentOptions - settings of the team document
   */
  async start(documentOptions: DocumentOptions = {}): Promise<void> {
    await this.startProcesses();
    await this.configure(documentOptions);
    await this.waitUntilConnected();
  }

  /** Starts the stand-ins and the daemons without applying a team document. */
  async startProcesses(): Promise<void> {
    const { engines, services, daemons, engineFlags = ["--speed", "5"], serviceFlags = [] } = this.#options;
    this.#keyValue = await this.launcher.startStandIn(["key-value"]);
    this.#vmList = await this.launcher.startStandIn(["vm-list"]);
    const start = (count: number, args: readonly string[]): Promise<launcher.StandInProcess[]> =>
      Promise.all(Array.from({ length: count }, () => this.launcher.startStandIn(args)));
    this.engines.push(...(await start(engines, ["engine", ...engineFlags])));
    this.services.push(...(await start(services, ["service", ...serviceFlags])));
    for (let index = 0; index < daemons; index++) await this.startDaemon(index);
  }

  /**
   * Starts a daemon, which replaces the entry of an earlier daemon on the same VM.
   *
   * @param index - index of the VM
   * @returns the daemon, once it listens
   */
  startDaemon(index: number): Promise<DaemonProcess> {
    const vm = `vm-${index + 1}`;
    return new Promise((resolve) => {
      const onLine = (line: string): void => {
        const addresses = /event=listening .*callerUrl=(\S+) peerUrl=\S+ adminUrl=(\S+)/.exec(line);
        if (!addresses) return;
        const daemon = { vm, child, url: addresses[1] ?? "", adminUrl: addresses[2] ?? "" };
        this.daemons[index] = daemon;
        resolve(daemon);
      };
      const child = this.launcher.start(launcher.Program.Daemon, this.#daemonArguments(index, vm), onLine);
    });
  }

  #daemonArguments(index: number, vm: string): string[] {
    return [
      ...["--vm", vm, "--data-centre", DATA_CENTRES[index % DATA_CENTRES.length] ?? ""],
      ...["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"],
      ...["--key-value", this.keyValueUrl, "--vm-list", this.vmListUrl],
      ...["--operator-token-digest", common.sha256(OPERATOR_TOKEN)],
      ...(this.#options.daemonFlags ?? []),
    ];
  }

  /**
   * @param index - index of the daemon
   * @returns the daemon
   * @throws Error if no daemon has this index
   */
  daemon(index: number): DaemonProcess {
    const daemon = this.daemons[index];
    if (!daemon) throw new Error(`no daemon has index ${index}`);
    return daemon;
  }

  /**
   * @param options - settings that differ from the defaults
   * @returns the text of the team document for this fleet
   */
  document(options: DocumentOptions = {}): string {
    const { roles = [], draining = [], checksFencing = true, plainDeadlineMs = 5000, perEndpoint = 64 } = options;
    const endpoint = (name: string, index: number, fields: string): string =>
      `  ${name}: { ${fields}, dataCentre: ${DATA_CENTRES[index % DATA_CENTRES.length]}, state: ${draining.includes(name) ? "draining" : "active"} }`;
    const engines = this.engines.map(({ url }, index) =>
      endpoint(
        `engine-${index + 1}`,
        index,
        `service: assist-llm, url: "${url}", role: ${roles[index] ?? "mixed"}, checksFencing: ${checksFencing}`,
      ),
    );
    const services = this.services.map(({ url }, index) =>
      endpoint(`printer-${index + 1}`, index, `service: yard-app, url: "${url}"`),
    );
    return `# Stadtwerke Leoben: dossiers and labels
team: leoben
tokenDigests: ["${common.sha256(TEAM_TOKEN)}"]
services:
  assist-llm: { kind: engine, model: assist, deadlineMs: 60000 }
  yard-app: { kind: service, idempotent: false, deadlineMs: ${plainDeadlineMs}, limits: { perEndpoint: ${perEndpoint} } }
endpoints:
${[...engines, ...services].join("\n")}
`;
  }

  /**
   * Applies a team document through the administration API and waits until it is
   * in force on all daemons.
   *
   * @param options - settings that differ from the defaults
   * @param index - index of the daemon to call
   * @returns the configuration revision
   * @throws Error if the document is rejected
   */
  async configure(options: DocumentOptions = {}, index = 0): Promise<number> {
    const response = await this.apply(this.document(options), this.#version, index);
    if (!response.ok) throw new Error(`team document was rejected: ${await response.text()}`);
    const { version, revision } = (await response.json()) as { version: number; revision: number };
    this.#version = version;
    await launcher.waitUntil(async () => {
      const inForce = await this.admin<{ pending: string[] }>(index, `/admin/in-force/${revision}`);
      return inForce.pending.length === 0;
    });
    return revision;
  }

  /**
   * Sends a team document to the administration API.
   *
   * @param text - text of the team document
   * @param expectedVersion - version of the document that this one is based on
   * @param index - index of the daemon to call
   * @returns the response
   */
  apply(text: string, expectedVersion: number, index = 0): Promise<Response> {
    return fetch(`${this.daemon(index).adminUrl}/admin/teams/leoben`, {
      method: "PUT",
      signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json" },
      body: JSON.stringify({ text, expectedVersion, author: "test" }),
    });
  }

  /** Waits until every daemon reports all others as live peers, or until the time limit of `waitUntil`. */
  async waitUntilConnected(): Promise<void> {
    await launcher.waitUntil(async () => {
      const statuses = await Promise.all(
        this.daemons.map((_, index) => this.admin<{ livePeers: number }>(index, "/admin/status")),
      );
      return statuses.every((status) => status.livePeers === this.daemons.length - 1);
    });
  }

  /**
   * Sends a GET request to the administration API.
   *
   * @param index - index of the daemon to call
   * @param path - path in the administration API
   * @returns the parsed JSON body
   */
  async admin<Value>(index: number, path: string): Promise<Value> {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const signal = AbortSignal.timeout(ADMIN_TIMEOUT_MS);
    const response = await fetch(`${this.daemon(index).adminUrl}${path}`, { headers, signal });
    return (await response.json()) as Value;
  }

  /**
   * @param url - address of a stand-in
   * @returns the entries of its journal
   */
  async journal(url: string): Promise<standIn.JournalEntry[]> {
    const response = await fetch(`${url}/journal`);
    return (await response.json()) as standIn.JournalEntry[];
  }

  /**
   * Sets fault switches of a stand-in.
   *
   * @param url - address of the stand-in
   * @param change - the switches to set
   */
  async setFaults(url: string, change: faults.FaultChange): Promise<void> {
    // The switch may close the connection that carries its reply, or an older kept-alive connection, so retry once.
    const headers = { "content-type": "application/json", connection: "close" };
    const post = (): Promise<Response> =>
      fetch(`${url}/faults`, { method: "POST", headers, body: JSON.stringify(change) });
    await post().catch(post);
  }

  /**
   * Replaces the VM list.
   *
   * @param states - state of each VM, by name
   */
  async listVms(states: Readonly<Record<string, "live" | "leaving" | "gone">>): Promise<void> {
    const list = Object.entries(states).map(([vm, state]) => ({ vm, dataCentre: "halle-a", state }));
    const headers = { "content-type": "application/json" };
    await fetch(`${this.vmListUrl}/vms`, { method: "POST", headers, body: JSON.stringify(list) });
  }

  /**
   * Calls the plain service to print a label.
   *
   * @param index - index of the daemon to call
   * @param key - value of the Idempotency-Key header
   * @param body - body of the call
   * @returns the response
   */
  printLabel(index: number, key: string, body = `label ${key}`): Promise<Response> {
    return fetch(`${this.daemon(index).url}/v1/services/yard-app/labels`, {
      method: "POST",
      headers: { authorization: `Bearer ${TEAM_TOKEN}`, "idempotency-key": key },
      body,
    });
  }

  /**
   * Sends a chat completion request.
   *
   * @param index - index of the daemon to call
   * @param prompt - text of the prompt
   * @param tokens - maximum length of the answer in tokens
   * @param stream - whether the answer is streamed
   * @returns the response
   */
  requestCompletion(index: number, prompt: string, tokens: number, stream = true): Promise<Response> {
    return fetch(`${this.daemon(index).url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${TEAM_TOKEN}`, "content-type": "application/json" },
      body: JSON.stringify({
        model: "assist-llm",
        messages: [{ role: "user", content: prompt }],
        max_tokens: tokens,
        stream,
      }),
    });
  }

  /** Kills every process of the fleet. */
  stop(): void {
    this.launcher.stopAll();
  }
}

/** What was read from a streamed completion. */
export interface ReadStream {
  readonly text: string;
  /** Whether the stream ended with its `[DONE]` marker. */
  readonly complete: boolean;
  readonly lastEventId: string;
}

/**
 * Reads a streamed completion until it ends, breaks off or the callback stops it.
 *
 * @param response - the streamed response
 * @param onChunk - called with the number of chunks read so far; returns false to stop reading
 * @returns what was read
 */
export async function readStream(
  response: Response,
  onChunk: (chunks: number) => boolean = () => true,
): Promise<ReadStream> {
  let [text, lastEventId, incompleteEvent] = ["", "", ""];
  let chunks = 0;
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body ?? []) {
      const events = (incompleteEvent + decoder.decode(bytes as Uint8Array, { stream: true })).split("\n\n");
      incompleteEvent = events.pop() ?? "";
      for (const event of events) {
        if (event === "data: [DONE]") return { text, complete: true, lastEventId };
        const data = /^data: (.*)$/m.exec(event)?.[1];
        if (data === undefined || event.startsWith("event: error")) continue;
        lastEventId = /^id: (.*)$/m.exec(event)?.[1] ?? lastEventId;
        const body = JSON.parse(data) as { choices: { delta: { content: string } }[] };
        text += body.choices[0]?.delta.content ?? "";
        chunks++;
        if (!onChunk(chunks)) return { text, complete: false, lastEventId };
      }
    }
  } catch {
    return { text, complete: false, lastEventId };
  }
  return { text, complete: false, lastEventId };
}
