import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { Role, taskName } from "@laburnumtrack/core/rows";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { EventKind } from "@laburnumtrack/standins/history";
import { CallEnd, Caller } from "./caller";
import { Fleet, SHORT_TIMES } from "./fleet";
import { checkTasks, type TaskCheck } from "./task_check";

const EXAMPLES = ["examples/smil", "examples/xochicalli"];
/** Job in the examples that fits on no VM. */
const REFUSED_JOB = "catalogue-render-3d";
/** Time after which the demo stops waiting and reports what it has. */
const DEMO_TIMEOUT_MS = 50_000;
const CALLER_COUNT = 6;
/** Pause of a caller between two requests. */
const CALL_PAUSE_MS = 20;
/** Delay between the first requests and the kills. */
const KILL_DELAY_MS = 1500;

/**
 * Runs a fleet with the example files, kills two processes, and prints how tasks
 * and requests went; resolves with the exit status.
 */
export async function runDemo(): Promise<number> {
  const startMs = Date.now();
  const log = (text: string) => {
    const seconds = ((Date.now() - startMs) / 1000).toFixed(1);
    process.stdout.write(`${seconds.padStart(5)} s  ${text}\n`);
  };
  log("starting stand-ins, 3 gateways, 3 schedulers, 12 workers");
  const fleet = await Fleet.start({
    programs: __dirname,
    failureDomains: ["north", "centre", "south"],
    entryVms: 1,
    workers: 12,
    times: SHORT_TIMES,
    logFolder: process.env.DEMO_LOGS,
  });
  try {
    return await runScenario(fleet, log, startMs);
  } finally {
    await fleet.stop();
  }
}

async function runScenario(
  fleet: Fleet,
  say: (text: string) => void,
  startMs: number,
): Promise<number> {
  const applied = await fleet.runOperatorCommand([
    "apply",
    "--wait",
    ...EXAMPLES,
  ]);
  say(`apply: ${applied.output.trim().replaceAll("\n", "; ")}`);
  await waitFor(() => hasEndpoints(fleet), startMs);
  say("services have endpoints; callers start sending requests");
  const caller = new Caller();
  const stop = new AbortController();
  const calling = Promise.all(
    Array.from({ length: CALLER_COUNT }, (_, index) =>
      callUntilStopped(fleet, caller, { index, signal: stop.signal }),
    ),
  );
  await pause(KILL_DELAY_MS);
  const expected = listExpectedTasks();
  say("sending SIGKILL to one scheduler and one gateway");
  await fleet.signal("scheduler-north-0", "SIGKILL");
  await fleet.signal("gateway-south-0", "SIGKILL");
  let shownFifths = -1;
  await waitFor(() => {
    const { tasksLost } = checkFleet(fleet, expected);
    const doneFifths = Math.floor(
      ((expected.length - tasksLost) / expected.length) * 5,
    );
    if (doneFifths !== shownFifths) {
      shownFifths = doneFifths;
      say(`${expected.length - tasksLost} of ${expected.length} tasks done`);
    }
    return Promise.resolve(tasksLost === 0);
  }, startMs);
  stop.abort();
  await calling;
  await caller.close();
  const status = await fleet.runOperatorCommand(["status"]);
  process.stdout.write(`\n${status.output}\n`);
  return summarize(fleet, caller, { expected, startMs, status: status.output });
}

function summarize(
  fleet: Fleet,
  caller: Caller,
  context: {
    readonly expected: readonly string[];
    readonly startMs: number;
    readonly status: string;
  },
): number {
  const check = checkFleet(fleet, context.expected);
  const calls = caller.countByEnd();
  const exceeded = fleet.history
    .list()
    .filter(({ kind }) => kind === EventKind.SlotsExceeded);
  for (const violation of check.violations) {
    process.stdout.write(`violation: ${violation}\n`);
  }
  const isRefused = context.status.includes("fits_nowhere");
  const ok =
    check.tasksLost === 0 &&
    check.tasksRunTwice === 0 &&
    calls[CallEnd.Wrong] === 0 &&
    calls[CallEnd.Right] > 0 &&
    isRefused;
  const result = {
    ok,
    requests: caller.calls.length,
    rightAnswers: calls[CallEnd.Right],
    wrongAnswers: calls[CallEnd.Wrong],
    notRun: calls[CallEnd.NotRun],
    outcomeUnknown: calls[CallEnd.Unknown],
    connectionsLost: calls[CallEnd.Broken],
    tasksDone: check.tasksDone,
    tasksRunTwice: check.tasksRunTwice,
    tasksLost: check.tasksLost,
    slotsExceeded: exceeded.length,
    seconds: (Date.now() - context.startMs) / 1000,
  };
  process.stdout.write(`\n${JSON.stringify(result)}\n`);
  return ok ? 0 : 1;
}

function checkFleet(fleet: Fleet, expected: readonly string[]): TaskCheck {
  const workers = fleet.history.list();
  const platform = fleet.platform.history.list();
  return checkTasks({ workers, platform, expected });
}

async function callUntilStopped(
  fleet: Fleet,
  caller: Caller,
  { index, signal }: { readonly index: number; readonly signal: AbortSignal },
): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    const gateways = fleet.callerAddresses();
    const gateway = gateways[(index + round) % gateways.length] ?? "";
    const route = index % 2 === 0 ? "/findings/span/" : "/shop/order/";
    const isOrder = round % 10 === 9;
    await caller.call({
      gateway,
      method: isOrder ? "POST" : "GET",
      path: `${route}${index}-${round}`,
      body: isOrder ? `order ${round}` : "",
      key: isOrder ? `key-${index}-${round}` : "",
    });
    await pause(CALL_PAUSE_MS);
  }
}

async function hasEndpoints(fleet: Fleet): Promise<boolean> {
  for (const name of fleet.running(Role.Gateway)) {
    const dump = (await fleet.readAdminPath(name, "/dump")) as {
      services: Record<string, { endpoints: number }>;
    };
    const services = Object.values(dump.services);
    if (services.length < 2) return false;
    if (services.some(({ endpoints }) => endpoints < 6)) return false;
  }
  return true;
}

function listExpectedTasks(): string[] {
  const sources = EXAMPLES.flatMap((folder) =>
    readdirSync(folder).map((file) => {
      const path = join(folder, file);
      return { file: path, text: readFileSync(path, "utf8") };
    }),
  );
  const files = readFileSet(sources);
  if (files.err) return [];
  const tasks: string[] = [];
  for (const job of files.val.jobs.values()) {
    if (job.name === REFUSED_JOB) continue;
    for (let index = 0; index < job.tasks; index += 1) {
      tasks.push(taskName(job.name, index));
    }
  }
  return tasks;
}

async function waitFor(
  isDone: () => Promise<boolean>,
  startMs: number,
): Promise<void> {
  while (Date.now() - startMs < DEMO_TIMEOUT_MS) {
    if (await isDone()) return;
    await pause(100);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
