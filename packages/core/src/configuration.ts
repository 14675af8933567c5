import * as common from "@camphorcourse/common";
import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import * as zod from "zod";
import * as constants from "./constants.js";

/** Whether a service is served by inference engines or by plain HTTP endpoints. */
export enum ServiceKind {
  Engine = "engine",
  Plain = "service",
}

/** The phases of inference that an engine runs. */
export enum EndpointRole {
  Prefill = "prefill",
  Decode = "decode",
  Mixed = "mixed",
}

/** An engine's role as the operator sets it; `Auto` leaves it to the planner. */
export enum RoleChoice {
  Auto = "auto",
  Prefill = "prefill",
  Decode = "decode",
  Mixed = "mixed",
}

/** An endpoint's state as the operator sets it. */
export enum EndpointState {
  Active = "active",
  /** Takes no new requests; running ones finish. */
  Draining = "draining",
}

const NAME = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lower-case letters, digits and hyphens");

const limitsSchema = zod.strictObject({
  /** Maximum concurrent requests of the service at one daemon, including waiting ones. */
  concurrent: zod.int().positive().default(2000),
  /** Maximum concurrent calls at one plain endpoint, over all daemons. */
  perEndpoint: zod.int().positive().default(16),
});

const serviceSchema = zod.strictObject({
  kind: zod.enum(ServiceKind),
  model: NAME.optional(),
  idempotent: zod.boolean().default(true),
  deadlineMs: zod.int().min(100).max(600_000).default(30_000),
  priority: zod.int().min(0).max(9).default(5),
  limits: limitsSchema.default({ concurrent: 2000, perEndpoint: 16 }),
  /** Requests answered in time that a role change must gain beyond its cost. */
  roleChangeWeight: zod.number().nonnegative().default(10),
});

const endpointSchema = zod.strictObject({
  service: NAME,
  url: zod.url({ protocol: /^https?$/ }),
  dataCentre: NAME,
  role: zod.enum(RoleChoice).default(RoleChoice.Mixed),
  state: zod.enum(EndpointState).default(EndpointState.Active),
  checksFencing: zod.boolean().default(false),
});

const documentSchema = zod.strictObject({
  team: NAME,
  /** SHA-256 digests, in hexadecimal, of the tokens that act for this team. */
  tokenDigests: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, "give the SHA-256 digest in hexadecimal")).default([]),
  services: zod.record(NAME, serviceSchema).default({}),
  endpoints: zod.record(NAME, endpointSchema).default({}),
});

/** Settings of one service. */
export type ServiceSettings = zod.infer<typeof serviceSchema>;
/** Settings of one endpoint. */
export type EndpointSettings = zod.infer<typeof endpointSchema>;
/** A team's configuration document. */
export type TeamDocument = zod.infer<typeof documentSchema>;

/**
 * Parses and validates a team's document.
 *
 * @param text - the YAML document
 * @param team - the team that the document must be for
 * @returns the document, or a problem that lists each invalid path with its error
 */
export function parseTeamDocument(text: string, team: string): neverthrow.Result<TeamDocument, common.Problem> {
  const content = parseYaml(text);
  if (content.isErr()) return neverthrow.err(invalidConfiguration([content.error]));
  const parsed = documentSchema.safeParse(content.value);
  if (!parsed.success) {
    const errors = parsed.error.issues.map((issue) => `${issue.path.join(".") || "document"}: ${messageOf(issue)}`);
    return neverthrow.err(invalidConfiguration(errors));
  }
  const errors = checkReferences(parsed.data, team);
  return errors.length > 0 ? neverthrow.err(invalidConfiguration(errors)) : neverthrow.ok(parsed.data);
}

/** For an invalid record key, returns the message of the broken name rule, which is more specific. */
function messageOf(issue: zod.core.$ZodIssue): string {
  return issue.code === "invalid_key" ? (issue.issues[0]?.message ?? issue.message) : issue.message;
}

function parseYaml(text: string): neverthrow.Result<unknown, string> {
  const document = yaml.parseDocument(text);
  const error = document.errors[0];
  if (error) return neverthrow.err(`document: ${error.message.split("\n")[0] ?? "invalid YAML"}`);
  // Aliases are rejected: a few lines of them can expand to gigabytes.
  const convert = neverthrow.fromThrowable(
    () => document.toJS({ maxAliasCount: 0 }) as unknown,
    () => "document: YAML aliases are not supported; write the values out",
  );
  return convert();
}

function checkReferences(document: TeamDocument, team: string): string[] {
  const errors: string[] = [];
  if (document.team !== team) errors.push(`team: is '${document.team}' but the path names '${team}'`);
  for (const [name, endpoint] of Object.entries(document.endpoints)) {
    const service = document.services[endpoint.service];
    if (!service) errors.push(`endpoints.${name}.service: no service '${endpoint.service}' in this document`);
    else if (service.kind === ServiceKind.Plain && endpoint.role !== RoleChoice.Mixed)
      errors.push(`endpoints.${name}.role: a plain service has no roles; leave it out`);
  }
  return errors;
}

function invalidConfiguration(errors: string[]): common.Problem {
  return common.problem(common.ProblemKind.InvalidConfiguration, errors.join("; "));
}

/** @returns the service's id, `team/service`, unique over all teams */
export function serviceId(team: string, service: string): string {
  return `${team}/${service}`;
}

/**
 * @param service - `team/service`
 * @returns the control shard whose lease holder carries out changes of the service's endpoints
 */
export function controlShardOf(service: string): string {
  return String(common.hash32(service) % constants.CONTROL_SHARDS);
}

/** A service with its team. */
export interface ServiceEntry {
  readonly id: string;
  readonly team: string;
  /** Its control shard, cached because every tick reads it. */
  readonly shard: string;
  readonly name: string;
  readonly settings: ServiceSettings;
}

/** An endpoint with its team. */
export interface EndpointEntry {
  /** `team/endpoint`. */
  readonly id: string;
  readonly team: string;
  readonly serviceId: string;
  readonly settings: EndpointSettings;
}

/** A team's document with the revision at which it was accepted. */
export interface AcceptedDocument {
  readonly document: TeamDocument;
  readonly revision: number;
}

/** The configuration in effect at a daemon: one document per team, each with its own revision. */
export class ConfigurationTree {
  readonly #teams = new Map<string, AcceptedDocument>();
  readonly #services = new Map<string, ServiceEntry>();
  readonly #endpoints = new Map<string, EndpointEntry>();
  readonly #endpointsByService = new Map<string, EndpointEntry[]>();
  readonly #teamsByDigest = new Map<string, string>();

  /**
   * Applies an accepted document. A revision that is not newer than the one in
   * effect is ignored: otherwise a late watch event or a paused daemon's push
   * would revert an accepted change. The key-value service assigns revisions
   * in the order of acceptance, so comparing them is enough.
   *
   * @param document - the validated document
   * @param revision - the revision at which it was accepted
   * @returns whether the document took effect
   */
  accept(document: TeamDocument, revision: number): boolean {
    const present = this.#teams.get(document.team);
    if (present && present.revision >= revision) return false;
    if (present) this.#unindex(document.team, present.document);
    this.#teams.set(document.team, { document, revision });
    this.#index(document.team, document);
    return true;
  }

  /**
   * @param team - the team
   * @returns its document in effect
   */
  team(team: string): AcceptedDocument | undefined {
    return this.#teams.get(team);
  }

  /** @returns the teams' names */
  teams(): string[] {
    return [...this.#teams.keys()];
  }

  /**
   * @param id - `team/service`
   * @returns the service
   */
  service(id: string): ServiceEntry | undefined {
    return this.#services.get(id);
  }

  /** @returns all services */
  services(): ServiceEntry[] {
    return [...this.#services.values()];
  }

  /**
   * @param id - `team/endpoint`
   * @returns the endpoint
   */
  endpoint(id: string): EndpointEntry | undefined {
    return this.#endpoints.get(id);
  }

  /**
   * @param id - `team/service`
   * @returns its endpoints
   */
  endpointsOf(id: string): EndpointEntry[] {
    return this.#endpointsByService.get(id) ?? [];
  }

  /** @returns all endpoints */
  endpoints(): EndpointEntry[] {
    return [...this.#endpoints.values()];
  }

  /**
   * @param digest - SHA-256 of a token
   * @returns the team that the token acts for
   */
  teamOfToken(digest: string): string | undefined {
    return this.#teamsByDigest.get(digest);
  }

  #unindex(team: string, document: TeamDocument): void {
    for (const digest of document.tokenDigests) this.#teamsByDigest.delete(digest);
    for (const name of Object.keys(document.services)) {
      this.#services.delete(serviceId(team, name));
      this.#endpointsByService.delete(serviceId(team, name));
    }
    for (const name of Object.keys(document.endpoints)) this.#endpoints.delete(`${team}/${name}`);
  }

  #index(team: string, document: TeamDocument): void {
    for (const digest of document.tokenDigests) this.#teamsByDigest.set(digest, team);
    for (const [name, settings] of Object.entries(document.services)) {
      const id = serviceId(team, name);
      this.#services.set(id, { id, team, shard: controlShardOf(id), name, settings });
    }
    for (const [name, settings] of Object.entries(document.endpoints)) {
      const entry = { id: `${team}/${name}`, team, serviceId: serviceId(team, settings.service), settings };
      this.#endpoints.set(entry.id, entry);
      const siblings = this.#endpointsByService.get(entry.serviceId) ?? [];
      this.#endpointsByService.set(entry.serviceId, [...siblings, entry]);
    }
  }
}
