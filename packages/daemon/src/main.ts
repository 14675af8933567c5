#!/usr/bin/env node
import * as clipanion from "clipanion";
import * as runDaemon from "./runDaemon.js";
import * as settings from "./settings.js";

const VERSION = "0.1.0";
const EXIT_BAD_SETTINGS = 2;

function setting(name: settings.SettingName): string | undefined {
  const { flag, variable, description, defaultValue } = settings.describeSetting(name);
  const shown = defaultValue === undefined ? description : `${description} (default ${defaultValue})`;
  return clipanion.Option.String(flag, { env: variable, description: `${shown} [${variable}]` });
}

/** Serves until it is told to stop. */
class DaemonCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: "serve callers, route to endpoints, and take part in control work",
    details: "SIGTERM or SIGINT stops it as planned: nothing that runs is cut.",
  });
  vm = setting("vm");
  dataCentre = setting("dataCentre");
  listen = setting("listen");
  peerListen = setting("peerListen");
  adminListen = setting("adminListen");
  advertise = setting("advertise");
  keyValue = setting("keyValue");
  vmList = setting("vmList");
  operatorTokenDigest = setting("operatorTokenDigest");
  seed = setting("seed");
  bodyLimit = setting("bodyLimit");
  orderLingerMs = setting("orderLingerMs");
  logLevel = setting("logLevel");

  async execute(): Promise<number> {
    const parsed = settings.parseSettings(this);
    if (parsed.isErr()) {
      this.context.stderr.write(`${parsed.error.detail}\nremedy: ${parsed.error.remedy}\n`);
      return EXIT_BAD_SETTINGS;
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
