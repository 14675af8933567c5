import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import type * as outcomes from "./outcome.js";
import * as tables from "./table.js";

const VERSION = "0.1.0";
const EXIT_BAD_FILE = 2;
const EXIT_BAD_OPTION = 2;
const SEEDS = [11, 12, 13];

/** Window of which the worst is shown, in milliseconds. */
const WINDOW_MS = 2_000;

/** Plays an experiment with several seeds and prints its figures. */
class RunCommand extends clipanion.Command {
  static override paths = [["run"]];
  static override usage = clipanion.Command.Usage({ description: "play an experiment's file with several seeds" });
  file = clipanion.Option.String({ required: true });

  execute(): Promise<number> {
    const description = descriptions.readDescription(fs.readFileSync(this.file, "utf8"));
    if (description.isErr()) {
      this.context.stderr.write(`${description.error}\n`);
      return Promise.resolve(EXIT_BAD_FILE);
    }
    for (const seed of SEEDS) {
      const { outcome, ...figures } = new experiments.Experiment(description.value, seed).run();
      console.log({ seed, ...rounded(outcome.all()), worstWindow: outcome.worstWindow(WINDOW_MS), ...figures });
      console.table(Object.fromEntries([...outcome.byKind()].map(([name, kind]) => [name, rounded(kind)])));
      for (const name of outcome.byKind().keys()) {
        const tenths = outcome.answeredByTenth(name).map((share) => share.toFixed(2));
        console.log(`${name}: answered by tenth of size, smallest first: ${tenths.join(" ")}`);
      }
    }
    return Promise.resolve(0);
  }
}

/** Plays an experiment's load by other numbers of daemons and prints a table in Markdown. */
class TableCommand extends clipanion.Command {
  static override paths = [["table"]];
  static override usage = clipanion.Command.Usage({
    description: "play a load by several numbers of daemons, and print a table",
    examples: [
      ["8 daemons that know each other's work after 50 ms, and 195", "$0 table FILE --deciders 8:50,195:1000"],
    ],
  });
  file = clipanion.Option.String({ required: true });
  deciders = clipanion.Option.String("--deciders", "8:50", {
    description: "daemons and age of what they know in milliseconds: 8:50,15:84",
  });
  loads = clipanion.Option.String("--loads", "1,1.7", { description: "factors on the load: 1,1.7" });

  execute(): Promise<number> {
    const description = descriptions.readDescription(fs.readFileSync(this.file, "utf8"));
    if (description.isErr()) {
      this.context.stderr.write(`${description.error}\n`);
      return Promise.resolve(EXIT_BAD_FILE);
    }
    const deciders = readDeciders(this.deciders);
    const loads = this.loads.split(",").map(Number);
    if (deciders === undefined || !loads.every((times) => times > 0)) {
      this.context.stderr.write("--deciders takes DAEMONS:MILLISECONDS,..., --loads takes factors above 0\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    this.context.stdout.write(`${tables.TABLE_HEAD}\n`);
    for (const times of loads) {
      for (const each of deciders) {
        const row = tables.playRow(description.value, each, times, SEEDS);
        this.context.stdout.write(`${tables.toMarkdown(row)}\n`);
      }
    }
    return Promise.resolve(0);
  }
}

function readDeciders(text: string): tables.Deciders[] | undefined {
  const read = text.split(",").map((pair) => {
    const [daemons = Number.NaN, viewAgeMs = Number.NaN] = pair.split(":").map(Number);
    return { daemons, viewAgeMs };
  });
  return read.every(({ daemons, viewAgeMs }) => Number.isInteger(daemons) && daemons > 0 && viewAgeMs > 0)
    ? read
    : undefined;
}

function rounded(figures: outcomes.Figures): outcomes.Figures {
  return { ...figures, goodput: Number(figures.goodput.toFixed(3)) };
}

const cli = new clipanion.Cli({ binaryName: "camphorcourse-experiment", binaryVersion: VERSION });
cli.register(RunCommand);
cli.register(TableCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
