import { SeededRandom } from "@laburnumtrack/standins/dice";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { APPLY_LIMIT_MS, checkConfig } from "./config_checks";
import { type ConfigProbe, ConfigProber } from "./config_prober";
import { ConfigTrouble } from "./config_trouble";
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
  /** Number of versions of the configuration. */
  readonly versions: number;
  /** Number of answers by which the configuration in use was checked. */
  readonly probes: number;
}

const ENTRY_COUNT = 4;
const WORKER_COUNT = 8;
/** Time within which accepted jobs must end once all faults have ended, in ms. */
const COMPLETION_LIMIT_MS = 25_000;
const POLL_INTERVAL_MS = 500;
/** Longest time from the start of a process to its first read, in ms. */
const START_LIMIT_MS = 3000;

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
    const configTrouble = new ConfigTrouble(world, new SeededRandom(seed + 3));
    const prober = new ConfigProber(world, new SeededRandom(seed + 2));
    const activities = [
      caller.run(ended.signal),
      injector.run(ended.signal),
      configTrouble.run(ended.signal),
      prober.run(ended.signal),
    ];
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
      violations: [
        ...world.violations,
        ...checkSoak(record),
        ...checkConfig({
          versions: world.versions,
          probes: prober.probes,
          isStartOutdated: (probe) => isStartOutdated(world, probe),
        }),
      ],
      versions: world.versions.length,
      probes: prober.probes.length,
      injectedFaults: injector.injected,
      accepted: caller.jobs.filter(({ isAccepted }) => isAccepted).length,
      jobs: caller.jobs.length,
      runs: history.length,
    };
  } finally {
    await world.stop();
  }
}

/**
 * Whether a process may not know better than an outdated read that it took at
 * its start; later ones are refused as such.
 */
function isStartOutdated(
  { entries, outdatedReads }: SoakWorld,
  { entry, start, sentMs }: ConfigProbe,
): boolean {
  const probed = entries.find(({ name }) => name === entry);
  if (probed === undefined) return false;
  const startMs = probed.startsMs[start - 1] ?? 0;
  return outdatedReads.some(
    ({ fromMs, toMs }) =>
      startMs > fromMs - START_LIMIT_MS &&
      startMs < toMs &&
      sentMs < toMs + APPLY_LIMIT_MS,
  );
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
