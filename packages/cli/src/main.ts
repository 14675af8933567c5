#!/usr/bin/env node
import * as clipanion from "clipanion";
import * as callCommand from "./callCommand.js";
import * as configCommands from "./configCommands.js";
import * as endpointCommands from "./endpointCommands.js";
import * as viewCommands from "./viewCommands.js";

const VERSION = "0.1.0";

const cli = new clipanion.Cli({ binaryName: "camphorcourse", binaryVersion: VERSION });
const commands = [
  configCommands.ConfigGetCommand,
  configCommands.ConfigApplyCommand,
  configCommands.ConfigDiffCommand,
  configCommands.ConfigHistoryCommand,
  viewCommands.TeamListCommand,
  viewCommands.ServiceCommand,
  viewCommands.StatusCommand,
  viewCommands.VmListCommand,
  viewCommands.TimelineCommand,
  endpointCommands.EndpointListCommand,
  endpointCommands.EndpointDrainCommand,
  endpointCommands.EndpointReplaceCommand,
  endpointCommands.EndpointRoleCommand,
  callCommand.CallCommand,
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
];
for (const command of commands) cli.register(command);
process.exitCode = await cli.run(process.argv.slice(2));
