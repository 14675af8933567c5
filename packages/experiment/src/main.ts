import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import type * as outcomes from "./outcome.js";

const VERSION = "0.1.0";
const EXIT_BAD_FILE = 2;
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

function rounded(figures: outcomes.Figures): outcomes.Figures {
  return { ...figures, goodput: Number(figures.goodput.toFixed(3)) };
}

const cli = new clipanion.Cli({ binaryName: "camphorcourse-experiment", binaryVersion: VERSION });
cli.register(RunCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
