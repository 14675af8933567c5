#!/usr/bin/env node
import * as clipanion from "clipanion";
import * as runDaemon from "./runDaemon.js";
import * as settings from "./settings.js";

const VERSION = "0.1.0";
const EXIT_INVALID_SETTINGS = 2;

function settingOption(name: settings.SettingName): string | undefined {
  const { flag, variable, description, defaultValue } = settings.describeSetting(name);
  const helpText = defaultValue === undefined ? description : `${description} (default ${defaultValue})`;
  return clipanion.Option.String(flag, { env: variable, description: `${helpText} [${variable}]` });
}

/** Runs the daemon until SIGTERM or SIGINT. */
class DaemonCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: "serve callers, route requests to endpoints, and take part in fleet coordination",
    details: "SIGTERM or SIGINT shuts it down gracefully: running requests finish first.",
  });
  vm = settingOption("vm");
  dataCentre = settingOption("dataCentre");
  listen = settingOption("listen");
  peerListen = settingOption("peerListen");
  adminListen = settingOption("adminListen");
  advertise = settingOption("advertise");
  keyValue = settingOption("keyValue");
  vmList = settingOption("vmList");
  operatorTokenDigest = settingOption("operatorTokenDigest");
  seed = settingOption("seed");
  bodyLimit = settingOption("bodyLimit");
  orderLingerMs = settingOption("orderLingerMs");
  logLevel = settingOption("logLevel");

  async execute(): Promise<number> {
    const parsed = settings.parseSettings(this);
    if (parsed.isErr()) {
      this.context.stderr.write(`${parsed.error.detail}\nremedy: ${parsed.error.remedy}\n`);
      return EXIT_INVALID_SETTINGS;
    }
    const running = await runDaemon.runDaemon(parsed.value, (line) => this.context.stdout.write(line));
    await new Promise<void>((resolve) => {
      process.once("SIGTERM", resolve);
      process.once("SIGINT", resolve);
    });
    await running.stop();
    return 0;
  }
}

const cli = new clipanion.Cli({ binaryName: "camphorcourse-daemon", binaryVersion: VERSION });
cli.register(DaemonCommand);
cli.register(clipanion.Builtins.HelpCommand);
cli.register(clipanion.Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
