import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as callerExchange from "./callerExchange.js";

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 1_000_000;
const PREFIX_CHARACTERS = 2048;
const MAX_KEY_LENGTH = 255;
/** Headers of a plain call that are forwarded to the endpoint; the others concern only the caller's connection. */
const FORWARDED_HEADERS = ["content-type", "accept", "accept-language", "idempotency-key"];

const messageSchema = zod.looseObject({ role: zod.string(), content: zod.string() });
const modelRequestSchema = zod
  .looseObject({
    model: zod.string(),
    messages: zod.array(messageSchema).min(1).optional(),
    prompt: zod.string().optional(),
    max_tokens: zod.int().positive().max(MAX_OUTPUT_TOKENS).optional(),
    stream: zod.boolean().optional(),
  })
  .refine((body) => body.messages !== undefined || body.prompt !== undefined, "'messages' or 'prompt' is required");

const headersSchema = zod.object({
  "idempotency-key": zod
    .string()
    .min(1)
    .max(MAX_KEY_LENGTH)
    .regex(/^[\x21-\x7e]+$/, "use printable characters without spaces")
    .optional(),
  "x-request-timeout-ms": zod.coerce.number().int().min(1).max(600_000).optional(),
  "x-priority": zod.coerce.number().int().min(0).max(9).optional(),
});

type ParsedHeaders = zod.infer<typeof headersSchema>;
type ParseResult<Value> = neverthrow.Result<Value, common.Problem>;

/** An authenticated HTTP request before its headers and body are parsed. */
export interface RawRequest {
  readonly id: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Parses a call of the completions API.
 *
 * @param raw - the HTTP request
 * @param tree - the current configuration
 * @returns the request, or a `BadRequest` or `UnknownService` problem
 */
export function parseModelRequest(
  raw: RawRequest,
  tree: core.ConfigurationTree,
): ParseResult<callerExchange.CallerRequest> {
  return parseHeaders(raw.headers).andThen((headers) =>
    parseJson(raw.body).andThen((json) => {
      const parsed = modelRequestSchema.safeParse(json);
      if (!parsed.success) return neverthrow.err(badRequest(parsed.error));
      const service = findService(tree, raw.team, parsed.data.model);
      if (!service) return neverthrow.err(unknownService(parsed.data.model));
      return neverthrow.ok(createModelRequest(raw, headers, parsed.data, service));
    }),
  );
}

/**
 * Parses a call of a plain service.
 *
 * @param raw - the HTTP request
 * @param service - name of the service
 * @param path - path and query at the endpoint
 * @param tree - the current configuration
 * @returns the request, or a `BadRequest` or `UnknownService` problem
 */
export function parsePlainRequest(
  raw: RawRequest,
  service: string,
  path: string,
  tree: core.ConfigurationTree,
): ParseResult<callerExchange.CallerRequest> {
  return parseHeaders(raw.headers).andThen((headers) => {
    const entry = tree.service(core.serviceId(raw.team, service));
    if (entry?.settings.kind !== core.ServiceKind.Plain) return neverthrow.err(unknownService(service));
    const description = createDescription(raw, headers, entry, path, 0, 0);
    const format = callerExchange.ResponseFormat.Plain;
    const forwarded = FORWARDED_HEADERS.flatMap((name) => {
      const value = raw.headers[name];
      return typeof value === "string" ? [[name, value] as const] : [];
    });
    return neverthrow.ok({
      description,
      format,
      method: raw.method,
      path,
      headers: Object.fromEntries(forwarded),
      body: raw.body,
    });
  });
}

function createModelRequest(
  raw: RawRequest,
  headers: ParsedHeaders,
  body: zod.infer<typeof modelRequestSchema>,
  service: core.ServiceEntry,
): callerExchange.CallerRequest {
  const prompt = body.prompt ?? (body.messages ?? []).map((message) => message.content).join("\n");
  const promptTokens = Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
  const outputTokens = body.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
  const description = createDescription(raw, headers, service, raw.path, promptTokens, outputTokens);
  const prefix =
    prompt.length > PREFIX_CHARACTERS ? String(common.hash32(prompt.slice(0, PREFIX_CHARACTERS))) : undefined;
  return {
    description: prefix === undefined ? description : { ...description, prefix },
    format: body.stream ? callerExchange.ResponseFormat.Stream : callerExchange.ResponseFormat.Document,
    method: raw.method,
    path: raw.path,
    headers: {},
    body: raw.body,
    document: { ...body, max_tokens: outputTokens },
  };
}

function createDescription(
  raw: RawRequest,
  headers: ParsedHeaders,
  service: core.ServiceEntry,
  path: string,
  promptTokens: number,
  maximumOutputTokens: number,
): core.RequestDescription {
  const key = headers["idempotency-key"];
  const digest = common.sha256(`${raw.method} ${path}\n${raw.body.toString("latin1")}`);
  return {
    id: raw.id,
    team: raw.team,
    service: service.id,
    promptTokens,
    maximumOutputTokens,
    ...(headers["x-request-timeout-ms"] === undefined ? {} : { deadlineMs: headers["x-request-timeout-ms"] }),
    ...(headers["x-priority"] === undefined ? {} : { priority: headers["x-priority"] }),
    fingerprint: digest,
    ...(key === undefined ? {} : { key: `${service.id}/${key}`, digest }),
  };
}

/** Finds a model service by its own name or by the name of its model. */
function findService(tree: core.ConfigurationTree, team: string, name: string): core.ServiceEntry | undefined {
  const byName = tree.service(core.serviceId(team, name));
  if (byName?.settings.kind === core.ServiceKind.Engine) return byName;
  return tree.services().find((service) => service.team === team && service.settings.model === name);
}

function parseHeaders(headers: http.IncomingHttpHeaders): ParseResult<ParsedHeaders> {
  const parsed = headersSchema.safeParse(headers);
  return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(badRequest(parsed.error));
}

function parseJson(body: Buffer): ParseResult<unknown> {
  const parse = neverthrow.fromThrowable(
    () => JSON.parse(body.toString("utf8")) as unknown,
    () => common.problem(common.ProblemKind.BadRequest, "the body is not valid JSON"),
  );
  return parse();
}

function badRequest(error: zod.ZodError): common.Problem {
  const errors = error.issues.map((issue) => `${issue.path.join(".") || "body"}: ${issue.message}`);
  return common.problem(common.ProblemKind.BadRequest, errors.join("; "));
}

function unknownService(name: string): common.Problem {
  return common.problem(common.ProblemKind.UnknownService, `your team has no service '${name}'`);
}
