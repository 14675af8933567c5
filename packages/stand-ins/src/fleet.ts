import type * as childProcess from "node:child_process";
import * as common from "@camphorcourse/common";
import type * as faults from "./faults.js";
import * as launcher from "./launcher.js";
import type * as standIn from "./standIn.js";

/** Token of the team that fleets are started with. */
export const TEAM_TOKEN = "leoben-token";
/** Token of the platform operator of such a fleet. */
export const OPERATOR_TOKEN = "operator-token";

const ADMIN_TIMEOUT_MS = 10_000;
const DATA_CENTRES = ["halle-a", "halle-b", "halle-c"];

/** A daemon that runs as a process of its own. */
export interface DaemonProcess {
  readonly vm: string;
  readonly child: childProcess.ChildProcess;
  readonly url: string;
  readonly adminUrl: string;
}

/** How many processes a fleet has, and their flags. */
export interface FleetOptions {
  readonly engines: number;
  readonly services: number;
  readonly daemons: number;
  readonly engineFlags?: readonly string[];
  readonly daemonFlags?: readonly string[];
  readonly serviceFlags?: readonly string[];
}

/** What a team document of a fleet says beyond the defaults. */
export interface DocumentOptions {
  /** Wanted role of each engine; the rest is mixed. */
  readonly roles?: readonly string[];
  /** Names of endpoints that are draining. */
  readonly draining?: readonly string[];
  readonly checksFencing?: boolean;
  readonly plainDeadlineMs?: number;
  readonly perEndpoint?: number;
}

/** A fleet of daemons, the platform's stand-ins and endpoints, each a process of its own. */
export class Fleet {
  readonly launcher = new launcher.Launcher();
  readonly engines: launcher.StandInProcess[] = [];
  readonly services: launcher.StandInProcess[] = [];
  readonly daemons: DaemonProcess[] = [];
  readonly #options: FleetOptions;
  #keyValue: launcher.StandInProcess | undefined;
  #vmList: launcher.StandInProcess | undefined;
  #version = 0;

  /** @param options - sizes and flags */
  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** @returns the address of the key-value service */
  get keyValueUrl(): string {
    return this.#keyValue?.url ?? "";
  }

  /** @returns the address of the list of VMs */
  get vmListUrl(): string {
    return this.#vmList?.url ?? "";
  }

  /** Starts everything, applies the team's document and waits until all daemons see one another. */
  async start(documentOptions: DocumentOptions = {}): Promise<void> {
    await this.startProcesses();
    await this.configure(documentOptions);
    await this.waitUntilConnected();
  }

  /** Starts the stand-ins and the daemons; no team has a document yet. */
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
   * @param index - which VM; a daemon that ran there is replaced in the list
   * @returns the daemon, once it answers
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
   * @param index - which daemon
   * @returns the daemon
   */
  daemon(index: number): DaemonProcess {
    const daemon = this.daemons[index];
    if (!daemon) throw new Error(`no daemon ${index}`);
    return daemon;
  }

  /**
   * @param options - what the document says
   * @returns the team's document for this fleet
   */
  document(options: DocumentOptions = {}): string {
    const { roles = [], draining = [], checksFencing = true, plainDeadlineMs = 5000, perEndpoint = 64 } = options;
    const endpoint = (name: string, index: number, rest: string): string =>
      `  ${name}: { ${rest}, dataCentre: ${DATA_CENTRES[index % DATA_CENTRES.length]}, state: ${draining.includes(name) ? "draining" : "active"} }`;
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
   * Applies a document through the administration API and waits until it is in
   * force everywhere.
   *
   * @param options - what the document says
   * @param index - the daemon to use
   * @returns the revision
   */
  async configure(options: DocumentOptions = {}, index = 0): Promise<number> {
    const reply = await this.apply(this.document(options), this.#version, index);
    if (!reply.ok) throw new Error(`the document was not accepted: ${await reply.text()}`);
    const { version, revision } = (await reply.json()) as { version: number; revision: number };
    this.#version = version;
    await launcher.waitUntil(async () => {
      const inForce = await this.admin<{ pending: string[] }>(index, `/admin/in-force/${revision}`);
      return inForce.pending.length === 0;
    });
    return revision;
  }

  /**
   * @param text - a team document
   * @param expectedVersion - on which it is based
   * @param index - the daemon to use
   * @returns the reply
   */
  apply(text: string, expectedVersion: number, index = 0): Promise<Response> {
    return fetch(`${this.daemon(index).adminUrl}/admin/teams/leoben`, {
      method: "PUT",
      signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json" },
      body: JSON.stringify({ text, expectedVersion, author: "test" }),
    });
  }

  /** Waits until every daemon hears all the others. */
  async waitUntilConnected(): Promise<void> {
    await launcher.waitUntil(async () => {
      const statuses = await Promise.all(
        this.daemons.map((_, index) => this.admin<{ livePeers: number }>(index, "/admin/status")),
      );
      return statuses.every((status) => status.livePeers === this.daemons.length - 1);
    });
  }

  /**
   * @param index - the daemon to ask
   * @param path - of the administration API
   * @returns what it answers
   */
  async admin<Value>(index: number, path: string): Promise<Value> {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const signal = AbortSignal.timeout(ADMIN_TIMEOUT_MS);
    const reply = await fetch(`${this.daemon(index).adminUrl}${path}`, { headers, signal });
    return (await reply.json()) as Value;
  }

  /**
   * @param url - a stand-in's address
   * @returns what it has on record
   */
  async journal(url: string): Promise<standIn.JournalEntry[]> {
    const reply = await fetch(`${url}/journal`);
    return (await reply.json()) as standIn.JournalEntry[];
  }

  /**
   * @param url - a stand-in's address
   * @param change - of its fault switches
   */
  async setFaults(url: string, change: faults.FaultChange): Promise<void> {
    // The switch may close the very connection that its reply comes on, or one kept from before.
    const headers = { "content-type": "application/json", connection: "close" };
    const post = (): Promise<Response> =>
      fetch(`${url}/faults`, { method: "POST", headers, body: JSON.stringify(change) });
    await post().catch(post);
  }

  /**
   * @param states - the list of VMs as the platform is to show it
   */
  async listVms(states: Readonly<Record<string, "live" | "leaving" | "gone">>): Promise<void> {
    const list = Object.entries(states).map(([vm, state]) => ({ vm, dataCentre: "halle-a", state }));
    const headers = { "content-type": "application/json" };
    await fetch(`${this.vmListUrl}/vms`, { method: "POST", headers, body: JSON.stringify(list) });
  }

  /**
   * @param index - the daemon to use
   * @param key - Idempotency-Key
   * @param body - of the call
   * @returns the reply to a label print
   */
  printLabel(index: number, key: string, body = `label ${key}`): Promise<Response> {
    return fetch(`${this.daemon(index).url}/v1/services/yard-app/labels`, {
      method: "POST",
      headers: { authorization: `Bearer ${TEAM_TOKEN}`, "idempotency-key": key },
      body,
    });
  }

  /**
   * @param index - the daemon to use
   * @param prompt - of the request
   * @param tokens - length of the answer
   * @param stream - whether it comes piece by piece
   * @returns the reply to a model request
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

  /** Ends every process of the fleet. */
  stop(): void {
    this.launcher.stopAll();
  }
}

/** What a caller has of a stream. */
export interface ReadStream {
  readonly text: string;
  readonly complete: boolean;
  readonly lastEventId: string;
}

/**
 * @param reply - a streamed reply
 * @param onPiece - told of the number of pieces so far; returns false to stop reading
 * @returns what was read
 */
export async function readStream(
  reply: Response,
  onPiece: (pieces: number) => boolean = () => true,
): Promise<ReadStream> {
  let [text, lastEventId, rest] = ["", "", ""];
  let pieces = 0;
  const decoder = new TextDecoder();
  try {
    for await (const chunk of reply.body ?? []) {
      const events = (rest + decoder.decode(chunk as Uint8Array, { stream: true })).split("\n\n");
      rest = events.pop() ?? "";
      for (const event of events) {
        if (event === "data: [DONE]") return { text, complete: true, lastEventId };
        const data = /^data: (.*)$/m.exec(event)?.[1];
        if (data === undefined || event.startsWith("event: error")) continue;
        lastEventId = /^id: (.*)$/m.exec(event)?.[1] ?? lastEventId;
        const body = JSON.parse(data) as { choices: { delta: { content: string } }[] };
        text += body.choices[0]?.delta.content ?? "";
        pieces++;
        if (!onPiece(pieces)) return { text, complete: false, lastEventId };
      }
    }
  } catch {
    return { text, complete: false, lastEventId };
  }
  return { text, complete: false, lastEventId };
}
