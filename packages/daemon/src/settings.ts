import * as common from "@camphorcourse/common";
import * as neverthrow from "neverthrow";
import * as zod from "zod";

/** A host and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A setting with its command-line flag and environment variable. */
export interface SettingDescription {
  readonly flag: string;
  readonly variable: string;
  readonly description: string;
  readonly defaultValue?: string;
}

const NAME = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lower-case letters, digits and hyphens");
const URL_TEXT = zod.url({ protocol: /^https?$/, error: "give a URL such as http://127.0.0.1:2379" });
const DIGEST = zod.string().regex(/^[0-9a-f]{64}$/, "give the SHA-256 digest of the token in hexadecimal");
const LISTEN = zod
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, "give host:port, such as 127.0.0.1:8080")
  .transform((text): ListenAddress => {
    const [host = "", port = "0"] = text.split(":");
    return { host, port: Number(port) };
  })
  .refine((address) => address.port <= 65_535, "give a port up to 65535");
const COUNT = zod.coerce
  .number({ error: "give a whole number" })
  .int("give a whole number")
  .nonnegative("give 0 or more");

const schema = zod.object({
  vm: NAME,
  dataCentre: NAME,
  listen: LISTEN,
  peerListen: LISTEN,
  adminListen: LISTEN,
  advertise: zod.string().min(1, "give the host by which callers and peers reach this VM"),
  keyValue: URL_TEXT,
  vmList: URL_TEXT,
  operatorTokenDigest: DIGEST,
  seed: COUNT,
  bodyLimit: COUNT,
  orderLingerMs: COUNT,
  logLevel: zod.enum(["debug", "info", "warn", "error"], { error: "give debug, info, warn or error" }),
});

/** The validated settings of a daemon. */
export type Settings = zod.infer<typeof schema>;

/** Name of a setting. */
export type SettingName = keyof Settings;

const DESCRIPTIONS: Record<SettingName, { description: string; defaultValue?: string }> = {
  vm: { description: "name of this VM" },
  dataCentre: { description: "data centre of this VM" },
  listen: { description: "host:port for callers; port 0 takes a free one" },
  peerListen: { description: "host:port for the other daemons; port 0 takes a free one" },
  adminListen: { description: "host:port for the administration API; port 0 takes a free one" },
  advertise: { description: "host by which callers and peers reach this VM", defaultValue: "127.0.0.1" },
  keyValue: { description: "URL of the key-value service" },
  vmList: { description: "URL of the list of VMs" },
  operatorTokenDigest: { description: "SHA-256 digest of the platform operator's token" },
  seed: { description: "seed of the random numbers; 0 takes a fresh one", defaultValue: "0" },
  bodyLimit: { description: "largest request body in bytes", defaultValue: "4194304" },
  orderLingerMs: {
    description: "longest time in milliseconds that a socket buffer can outlive its process",
    defaultValue: "900000",
  },
  logLevel: { description: "debug, info, warn or error", defaultValue: "info" },
};

/**
 * Describes a setting.
 *
 * @param name - name of the setting
 * @returns its flag, environment variable, description and default
 */
export function describeSetting(name: SettingName): SettingDescription {
  const words = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  const variable = `CAMPHORCOURSE_${words.replaceAll("-", "_").toUpperCase()}`;
  return { flag: `--${words}`, variable, ...DESCRIPTIONS[name] };
}

/** @returns the descriptions of all settings, for the generated documentation */
export function describeSettings(): SettingDescription[] {
  return (Object.keys(DESCRIPTIONS) as SettingName[]).map(describeSetting);
}

/**
 * Validates the settings and applies the defaults.
 *
 * @param values - values given by flags or environment variables
 * @returns the settings, or a problem that names each invalid flag, its value and the remedy
 */
export function parseSettings(
  values: Partial<Record<SettingName, string | undefined>>,
): neverthrow.Result<Settings, common.Problem> {
  const withDefaults = Object.fromEntries(
    (Object.keys(DESCRIPTIONS) as SettingName[]).map((name) => [name, values[name] ?? DESCRIPTIONS[name].defaultValue]),
  );
  const parsed = schema.safeParse(withDefaults);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const errors = parsed.error.issues.map((issue) =>
    describeError(issue.path[0] as SettingName, withDefaults, issue.message),
  );
  return neverthrow.err(common.problem(common.ProblemKind.InvalidSetting, errors.join("; ")));
}

function describeError(name: SettingName, values: Record<string, string | undefined>, message: string): string {
  const { flag, variable } = describeSetting(name);
  const value = values[name];
  if (value === undefined) return `${flag} (or ${variable}) is missing: give it`;
  return `${flag}=${value}: ${message}`;
}
