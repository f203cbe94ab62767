import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SystemClock } from "@laburnumtrack/core/clock";
import { LEADER_KEY, readLeadership } from "@laburnumtrack/jobs/job_rows";
import {
  describeConfig,
  describeWorker,
  serveTable,
  serveWorker,
} from "@laburnumtrack/platform/platform_standin_server";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { catchesSignal } from "@laburnumtrack/standins/caught_signals";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { TaskFleetStandin } from "@laburnumtrack/standins/task_fleet_standin";
import { APPLY_LIMIT_MS, type WrittenVersion } from "./config_checks";
import { LoopbackProxy } from "./loopback_proxy";

/** Size of the test environment and location of its programs. */
export interface SoakWorldOptions {
  /** Folder of the bundled programs. */
  readonly programs: string;
  readonly entries: number;
  readonly workers: number;
  /** Folder for the logs of the processes; undefined keeps none. */
  readonly logs: string | undefined;
}

/** An entry process under test. */
export interface SoakEntry {
  readonly name: string;
  /** Path of the settings file. */
  readonly settings: string;
  /** `host:port` for callers. */
  readonly address: string;
  /** Proxy between the process and the table. */
  readonly tableLink: LoopbackProxy;
  child: ChildProcess | undefined;
  isPaused: boolean;
  /** Monotonic ms of each start of its process. */
  readonly startsMs: number[];
  /** Whether the process has written to its log, which it does once loaded. */
  hasPrinted: boolean;
  /** The test ended or killed the process: its exit is not a violation. */
  isEndExpected: boolean;
}

/** Queue to which the jobs are submitted. */
export const QUEUE = {
  host: "jobs.example",
  prefix: "/jobs/",
  pool: "pool",
  unused: 200,
};

/** Time limit for all entries to become ready, in ms. */
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
/** Delay before a process that exited is started again, in ms. */
const RESTART_DELAY_MS = 300;
/** Few enough that the leader uses relays. */
const RELAY_MIN_WORKERS = 4;
/** Ports of an entry: callers, readiness and monitoring. */
const PORTS_PER_ENTRY = 3;

/**
 * Test environment: real entry processes that are connected over loopback to
 * stand-ins for the platform.
 */
export class SoakWorld {
  readonly clock = new SystemClock();
  readonly table = new FeedTableStandin(this.clock);
  readonly fleet: TaskFleetStandin;
  readonly entries: SoakEntry[] = [];
  /** Proxies between the entries and each worker, by worker id. */
  readonly workerLinks = new Map<string, LoopbackProxy>();
  /** Misbehaviour of the environment or its processes, one line each. */
  readonly violations: string[] = [];
  /** The versions of the configuration so far. */
  readonly versions: WrittenVersion[] = [];
  /** Times in ms at which the table's reads may have been outdated. */
  readonly outdatedReads: { readonly fromMs: number; readonly toMs: number }[] =
    [];
  readonly #options: SoakWorldOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "laburnumtrack-soak-"));
  readonly #listeners: Listener[] = [];
  #isStopped = false;

  private constructor(options: SoakWorldOptions) {
    this.#options = options;
    const ids = Array.from(
      { length: options.workers },
      (_, index) => `w${index}`,
    );
    this.fleet = new TaskFleetStandin(this.clock, ids);
  }

  /** Starts everything; resolves once all entries are ready. */
  static async start(options: SoakWorldOptions): Promise<SoakWorld> {
    const world = new SoakWorld(options);
    await world.#startWorkers();
    world.writeConfig();
    await world.#startEntries();
    return world;
  }

  /** Writes the configuration under a new version. */
  writeConfig(): void {
    const { key, value } = describeConfig(this.versions.length + 1, QUEUE);
    this.table.writeAsOperator(key, value);
    this.versions.push({ writtenMs: this.clock.nowMs() });
  }

  /** The entry that holds the leadership in the table; undefined if none does. */
  async findLeader(): Promise<SoakEntry | undefined> {
    const rows = await this.table.get([LEADER_KEY]);
    const row = rows.ok ? rows.val[0] : undefined;
    const leadership = row && readLeadership(row);
    if (leadership === undefined || leadership.err) return undefined;
    return this.entries.find(({ name }) => name === leadership.val.holder);
  }

  /** Sends a signal to an entry if its process is running. */
  signal(entry: SoakEntry, signal: NodeJS.Signals): void {
    const { child } = entry;
    if (child?.pid === undefined) return;
    if (signal === "SIGKILL" || signal === "SIGTERM")
      entry.isEndExpected = true;
    // Before a program's first statement the runtime's default action applies.
    const isHandled = entry.hasPrinted || catchesSignal(child.pid, signal);
    if (signal === "SIGHUP" && !isHandled) entry.isEndExpected = true;
    child.kill(signal);
  }

  /** Waits until every entry is ready; false after the time limit. */
  async awaitReady(): Promise<boolean> {
    const deadlineMs = this.clock.nowMs() + READY_TIMEOUT_MS;
    for (const { address } of this.entries) {
      while (!(await isReady(address))) {
        if (this.clock.nowMs() > deadlineMs) return false;
        await this.clock.sleep(POLL_INTERVAL_MS);
      }
    }
    return true;
  }

  /** Stops the processes, proxies and listeners that this environment started. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const { child, tableLink } of this.entries) {
      child?.kill("SIGCONT");
      child?.kill("SIGKILL");
      tableLink.close();
    }
    for (const link of this.workerLinks.values()) link.close();
    for (const listener of this.#listeners) {
      listener.server.closeAllConnections();
      await listener.close();
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startWorkers(): Promise<void> {
    for (let index = 0; index < this.#options.workers; index += 1) {
      const id = `w${index}`;
      const listener = await listenHttp("127.0.0.1:0", (request, response) => {
        void serveWorker(this.fleet, id, { request, response });
      });
      this.#listeners.push(listener);
      const link = await LoopbackProxy.open(listener.address);
      this.workerLinks.set(id, link);
      const { address } = link;
      await this.#commitRows([
        describeWorker({ id, address, pool: QUEUE.pool }),
      ]);
    }
  }

  async #startEntries(): Promise<void> {
    const store = await listenHttp("127.0.0.1:0", (request, response) => {
      void serveTable(this.table, request, response);
    });
    this.#listeners.push(store);
    const host = ownLoopbackHost();
    const ports = await findFreePorts(
      host,
      this.#options.entries * PORTS_PER_ENTRY,
    );
    for (let index = 0; index < this.#options.entries; index += 1) {
      const [callers, ready, admin] = ports.slice(index * PORTS_PER_ENTRY);
      const name = `e${index}`;
      const tableLink = await LoopbackProxy.open(store.address);
      const settings = join(this.#folder, `${name}.ini`);
      const lines = [
        "[entry]",
        `name = ${name}`,
        "failure_domain = a",
        `caller_address = ${host}:${callers}`,
        `ready_address = ${host}:${ready}`,
        `admin_address = ${host}:${admin}`,
        `table_url = http://${tableLink.address}`,
        "shutdown_ms = 1500",
        `config_max_age_ms = ${APPLY_LIMIT_MS}`,
        `relay_min_workers = ${RELAY_MIN_WORKERS}`,
      ];
      writeFileSync(settings, `${lines.join("\n")}\n`);
      const entry: SoakEntry = {
        name,
        settings,
        address: `${host}:${callers}`,
        tableLink,
        child: undefined,
        isPaused: false,
        startsMs: [],
        hasPrinted: false,
        isEndExpected: false,
      };
      this.entries.push(entry);
      this.#spawn(entry);
    }
    if (!(await this.awaitReady()))
      this.violations.push("entries did not become ready after the start");
  }

  #spawn(entry: SoakEntry): void {
    const program = join(this.#options.programs, "laburnumtrack-entry.cjs");
    const child = spawn(
      process.execPath,
      [program, "--settings", entry.settings],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    entry.child = child;
    entry.isEndExpected = false;
    entry.isPaused = false;
    entry.startsMs.push(this.clock.nowMs());
    entry.hasPrinted = false;
    const { logs } = this.#options;
    const file =
      logs &&
      createWriteStream(join(logs, `${entry.name}.log`), { flags: "a" });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes: Buffer) => {
        entry.hasPrinted = true;
        if (file) file.write(bytes);
        if (bytes.includes("A task of the leader failed")) {
          this.violations.push(`${entry.name}: ${bytes.toString("utf8")}`);
        }
      });
    }
    child.on("exit", (code, signal) => this.#onExit(entry, code ?? signal));
  }

  #onExit(entry: SoakEntry, exit: number | string | null): void {
    entry.child = undefined;
    if (this.#isStopped) return;
    if (!entry.isEndExpected)
      this.violations.push(
        `entry ${entry.name} exited unexpectedly with ${exit}`,
      );
    setTimeout(() => {
      if (!this.#isStopped) this.#spawn(entry);
    }, RESTART_DELAY_MS);
  }

  async #commitRows(rows: { key: string; value: string }[]): Promise<void> {
    const writes = rows.map(({ key, value }) => ({ key, value }));
    const done = await this.table.commit({ checks: [], writes });
    if (done.err)
      this.violations.push(
        `stand-in table refused a commit: ${done.val.message}`,
      );
  }
}

/**
 * Loopback address that only this test uses: on a shared address, another
 * process could take the port of an entry that is being restarted.
 */
function ownLoopbackHost(): string {
  const { pid } = process;
  const high = 1 + ((pid >> 16) % 254);
  return `127.${high}.${(pid >> 8) & 0xff}.${pid & 0xff}`;
}

/** Finds ports of a loopback address that are currently free. */
async function findFreePorts(host: string, count: number): Promise<number[]> {
  const listeners: Listener[] = [];
  for (let index = 0; index < count; index += 1) {
    listeners.push(await listenHttp(`${host}:0`, () => {}));
  }
  for (const listener of listeners) await listener.close();
  return listeners.map(({ address }) => Number(address.split(":")[1]));
}

async function isReady(address: string): Promise<boolean> {
  try {
    const { status } = await fetch(`http://${address}/`);
    // No queue has this path: an entry answers 404 once it has a configuration.
    return status === 404;
  } catch {
    // The entry does not listen yet.
    return false;
  }
}
