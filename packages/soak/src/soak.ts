import { Dice } from "@laburnumtrack/standins/dice";
import { TableTrouble } from "@laburnumtrack/standins/feed_table_standin";
import { SoakCaller } from "./soak_caller";
import { checkSoak } from "./soak_checks";
import { TroubleMaker } from "./soak_trouble";
import { SoakWorld } from "./soak_world";

/** How a soak is run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Folder of the bundled programs. */
  readonly programs: string;
  /** Folder for the processes' logs; undefined: none are kept. */
  readonly logs?: string | undefined;
}

/** What a soak gave. */
export interface SoakResult {
  /** Promises that were broken, a line each. */
  readonly broken: readonly string[];
  readonly troubles: readonly string[];
  readonly accepted: number;
  readonly jobs: number;
  readonly runs: number;
}

const ENTRIES = 4;
const WORKERS = 8;
/** Time after the last trouble in which all jobs have to end, in ms. */
const SETTLE_MS = 25_000;
const POLL_MS = 500;

/** Runs the real programs under troubles that follow from a seed, and checks. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, programs, logs } = options;
  const world = await SoakWorld.start({
    programs,
    logs,
    entries: ENTRIES,
    workers: WORKERS,
  });
  try {
    const caller = new SoakCaller(world.clock, new Dice(seed), world.entries);
    const maker = new TroubleMaker(world, new Dice(seed + 1));
    const over = new AbortController();
    const running = [caller.run(over.signal), maker.run(over.signal)];
    await world.clock.sleep(seconds * 1000);
    over.abort();
    await Promise.all(running);
    world.table.trouble = TableTrouble.None;
    if (!(await world.awaitReady())) world.faults.push("not ready at the end");
    const states = await readFinalStates(world, caller);
    const { history, acknowledged } = world.fleet;
    const record = { jobs: caller.jobs, states, history, acknowledged };
    return {
      broken: [...world.faults, ...checkSoak(record)],
      troubles: maker.done,
      accepted: caller.jobs.filter(({ isAccepted }) => isAccepted).length,
      jobs: caller.jobs.length,
      runs: history.length,
    };
  } finally {
    await world.stop();
  }
}

/** Asks until all accepted jobs are over, or the time for that is. */
async function readFinalStates(
  { clock }: SoakWorld,
  caller: SoakCaller,
): Promise<Map<string, string | undefined>> {
  const states = new Map<string, string | undefined>();
  const untilMs = clock.nowMs() + SETTLE_MS;
  let open = caller.jobs.filter(({ isAccepted }) => isAccepted);
  while (open.length > 0 && clock.nowMs() < untilMs) {
    for (const { id } of open) states.set(id, await caller.readState(id));
    open = open.filter(({ id }) => {
      const state = states.get(id);
      return state !== "completed" && state !== "cancelled";
    });
    if (open.length > 0) await clock.sleep(POLL_MS);
  }
  return states;
}
