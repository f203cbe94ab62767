import { SeededRandom } from "@laburnumtrack/standins/dice";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { SoakCaller } from "./soak_caller";
import { checkSoak } from "./soak_checks";
import { FaultInjector } from "./soak_trouble";
import { SoakWorld } from "./soak_world";

/** Options of a soak test. */
export interface SoakOptions {
  /** Seed of the submitted jobs and of the injected faults. */
  readonly seed: number;
  /** Time during which jobs are submitted and faults are injected. */
  readonly seconds: number;
  /** Folder of the bundled programs. */
  readonly programs: string;
  /** Folder for the logs of the processes; undefined keeps none. */
  readonly logs?: string | undefined;
}

/** Outcome of a soak test. */
export interface SoakResult {
  /** Violated guarantees, one line each. */
  readonly violations: readonly string[];
  /** Injected faults, one line each, in order. */
  readonly injectedFaults: readonly string[];
  /** Number of jobs whose submission was accepted. */
  readonly accepted: number;
  /** Number of jobs that were submitted. */
  readonly jobs: number;
  /** Number of runs that workers started. */
  readonly runs: number;
}

const ENTRY_COUNT = 4;
const WORKER_COUNT = 8;
/** Time within which accepted jobs must end once all faults have ended, in ms. */
const COMPLETION_LIMIT_MS = 25_000;
const POLL_INTERVAL_MS = 500;

/**
 * Runs the real programs while it submits jobs and injects faults, both derived
 * from a seed, then checks the guarantees to callers.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, programs, logs } = options;
  const world = await SoakWorld.start({
    programs,
    logs,
    entries: ENTRY_COUNT,
    workers: WORKER_COUNT,
  });
  try {
    const caller = new SoakCaller(
      world.clock,
      new SeededRandom(seed),
      world.entries,
    );
    const injector = new FaultInjector(world, new SeededRandom(seed + 1));
    const ended = new AbortController();
    const activities = [caller.run(ended.signal), injector.run(ended.signal)];
    await world.clock.sleep(seconds * 1000);
    ended.abort();
    await Promise.all(activities);
    world.table.fault = TableFault.None;
    if (!(await world.awaitReady())) {
      world.violations.push(
        "entries did not become ready after the last fault",
      );
    }
    const states = await readFinalStates(world, caller);
    const { history, acknowledged } = world.fleet;
    const record = { jobs: caller.jobs, states, history, acknowledged };
    return {
      violations: [...world.violations, ...checkSoak(record)],
      injectedFaults: injector.injected,
      accepted: caller.jobs.filter(({ isAccepted }) => isAccepted).length,
      jobs: caller.jobs.length,
      runs: history.length,
    };
  } finally {
    await world.stop();
  }
}

/** Polls accepted jobs until all have ended or the time limit has passed. */
async function readFinalStates(
  { clock }: SoakWorld,
  caller: SoakCaller,
): Promise<Map<string, string | undefined>> {
  const states = new Map<string, string | undefined>();
  const deadlineMs = clock.nowMs() + COMPLETION_LIMIT_MS;
  let pending = caller.jobs.filter(({ isAccepted }) => isAccepted);
  while (pending.length > 0 && clock.nowMs() < deadlineMs) {
    for (const { id } of pending) states.set(id, await caller.readState(id));
    pending = pending.filter(({ id }) => {
      const state = states.get(id);
      return state !== "completed" && state !== "cancelled";
    });
    if (pending.length > 0) await clock.sleep(POLL_INTERVAL_MS);
  }
  return states;
}
