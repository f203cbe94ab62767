import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { MachineClock } from "@laburnumtrack/core/clock";
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
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import { TaskFleetStandin } from "@laburnumtrack/standins/task_fleet_standin";
import { LoopbackProxy } from "./loopback_proxy";

/** How large a world is and where its programs are. */
export interface SoakWorldOptions {
  /** Folder of the bundled programs. */
  readonly programs: string;
  readonly entries: number;
  readonly workers: number;
  /** Folder for the processes' logs; undefined: none are kept. */
  readonly logs: string | undefined;
}

/** A process of the system. */
export interface SoakEntry {
  readonly name: string;
  readonly settings: string;
  /** Where callers reach it. */
  readonly address: string;
  readonly tableLink: LoopbackProxy;
  child: ChildProcess | undefined;
  isPaused: boolean;
  /** It was told to end, or killed: its end is no fault of its own. */
  isEnding: boolean;
}

/** Where jobs are handed in. */
export const QUEUE = { host: "jobs.example", prefix: "/jobs/", pool: "pool" };

const READY_LIMIT_MS = 15_000;
const POLL_MS = 50;
/** Pause before a process that ended is started again, in ms. */
const RESTART_MS = 300;
/** Ports of callers, readiness and monitoring, for each entry. */
const PORTS_EACH = 3;

/** Real entries, and stand-ins for the platform, over loopback. */
export class SoakWorld {
  readonly clock = new MachineClock();
  readonly table = new FeedTableStandin(this.clock);
  readonly fleet: TaskFleetStandin;
  readonly entries: SoakEntry[] = [];
  /** Links to workers, by id. */
  readonly workerLinks = new Map<string, LoopbackProxy>();
  /** What a process did that it should not. */
  readonly faults: string[] = [];
  readonly #options: SoakWorldOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "laburnumtrack-soak-"));
  readonly #listeners: Listener[] = [];
  #version = 0;
  #isOver = false;

  private constructor(options: SoakWorldOptions) {
    this.#options = options;
    const ids = Array.from({ length: options.workers }, (_, at) => `w${at}`);
    this.fleet = new TaskFleetStandin(this.clock, ids);
  }

  /** Starts everything; resolves once all entries are ready. */
  static async start(options: SoakWorldOptions): Promise<SoakWorld> {
    const world = new SoakWorld(options);
    await world.#startWorkers();
    await world.writeConfig();
    await world.#startEntries();
    return world;
  }

  /** Writes a newer configuration. */
  async writeConfig(): Promise<void> {
    this.#version += 1;
    await this.#write([describeConfig(this.#version, QUEUE)]);
  }

  /** The entry that leads, as the table tells. */
  async findLeader(): Promise<SoakEntry | undefined> {
    const rows = await this.table.get([LEADER_KEY]);
    const row = rows.ok ? rows.val[0] : undefined;
    const leadership = row && readLeadership(row);
    if (leadership === undefined || leadership.err) return undefined;
    return this.entries.find(({ name }) => name === leadership.val.holder);
  }

  /** Sends a signal to an entry, if it runs. */
  signal(entry: SoakEntry, signal: NodeJS.Signals): void {
    if (signal === "SIGKILL" || signal === "SIGTERM") entry.isEnding = true;
    entry.child?.kill(signal);
  }

  /** Resolves when every entry says that it is ready; false: in vain. */
  async awaitReady(): Promise<boolean> {
    const untilMs = this.clock.nowMs() + READY_LIMIT_MS;
    for (const { address } of this.entries) {
      while (!(await isServing(address))) {
        if (this.clock.nowMs() > untilMs) return false;
        await this.clock.sleep(POLL_MS);
      }
    }
    return true;
  }

  /** Ends what this world started, and nothing else. */
  async stop(): Promise<void> {
    this.#isOver = true;
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
    for (let at = 0; at < this.#options.workers; at += 1) {
      const id = `w${at}`;
      const listener = await listenHttp("127.0.0.1:0", (request, response) => {
        void serveWorker(this.fleet, id, { request, response });
      });
      this.#listeners.push(listener);
      const link = await LoopbackProxy.open(listener.address);
      this.workerLinks.set(id, link);
      const { address } = link;
      await this.#write([describeWorker({ id, address, pool: QUEUE.pool })]);
    }
  }

  async #startEntries(): Promise<void> {
    const store = await listenHttp("127.0.0.1:0", (request, response) => {
      void serveTable(this.table, request, response);
    });
    this.#listeners.push(store);
    const ports = await findPorts(this.#options.entries * PORTS_EACH);
    for (let at = 0; at < this.#options.entries; at += 1) {
      const [callers, ready, admin] = ports.slice(at * PORTS_EACH);
      const name = `e${at}`;
      const tableLink = await LoopbackProxy.open(store.address);
      const settings = join(this.#folder, `${name}.ini`);
      const lines = [
        "[entry]",
        `name = ${name}`,
        "failure_domain = a",
        `caller_address = 127.0.0.1:${callers}`,
        `ready_address = 127.0.0.1:${ready}`,
        `admin_address = 127.0.0.1:${admin}`,
        `table_url = http://${tableLink.address}`,
        "shutdown_ms = 1500",
      ];
      writeFileSync(settings, `${lines.join("\n")}\n`);
      const entry: SoakEntry = {
        name,
        settings,
        address: `127.0.0.1:${callers}`,
        tableLink,
        child: undefined,
        isPaused: false,
        isEnding: false,
      };
      this.entries.push(entry);
      this.#spawn(entry);
    }
    if (!(await this.awaitReady())) this.faults.push("not ready at the start");
  }

  #spawn(entry: SoakEntry): void {
    const program = join(this.#options.programs, "laburnumtrack-entry.cjs");
    const child = spawn(
      process.execPath,
      [program, "--settings", entry.settings],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    entry.child = child;
    entry.isEnding = false;
    entry.isPaused = false;
    const { logs } = this.#options;
    const file =
      logs &&
      createWriteStream(join(logs, `${entry.name}.log`), { flags: "a" });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes: Buffer) => {
        if (file) file.write(bytes);
        if (bytes.includes("A task of the leader failed")) {
          this.faults.push(`${entry.name}: ${bytes.toString("utf8")}`);
        }
      });
    }
    child.on("exit", (code, signal) => this.#onExit(entry, code ?? signal));
  }

  #onExit(entry: SoakEntry, how: number | string | null): void {
    entry.child = undefined;
    if (this.#isOver) return;
    if (!entry.isEnding) this.faults.push(`${entry.name} ended: ${how}`);
    setTimeout(() => {
      if (!this.#isOver) this.#spawn(entry);
    }, RESTART_MS);
  }

  async #write(rows: { key: string; value: string }[]): Promise<void> {
    const writes = rows.map(({ key, value }) => ({ key, value }));
    const done = await this.table.commit({ checks: [], writes });
    if (done.err) this.faults.push(`the stand-in table: ${done.val.message}`);
  }
}

/** Ports that are free now. */
async function findPorts(count: number): Promise<number[]> {
  const listeners: Listener[] = [];
  for (let at = 0; at < count; at += 1) {
    listeners.push(await listenHttp("127.0.0.1:0", () => {}));
  }
  for (const listener of listeners) await listener.close();
  return listeners.map(({ address }) => Number(address.split(":")[1]));
}

async function isServing(address: string): Promise<boolean> {
  try {
    const { status } = await fetch(`http://${address}/`);
    // No queue has this path: an entry with a configuration says so.
    return status === 404;
  } catch {
    // It does not listen yet.
    return false;
  }
}
