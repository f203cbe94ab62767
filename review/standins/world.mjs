// A small deployment on loopback: entry processes as the deploy file starts
// them, and stand-ins for the platform's store, workers, operator and clients.
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Fleet } from "./fleet.mjs";
import { Store, sleep } from "./store.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const RESTART_DELAY_MS = 500;
const READY_INTERVAL_MS = 1000;
const READY_MISSES = 2;
/** A script may run for 120 s. */
const TOTAL_LIMIT_MS = 115_000;
/** Time limit of a client's request, as on the users' sheet. */
const CLIENT_TIMEOUT_MS = 3000;
const CLIENT_TRIES = 5;
const CLIENT_PAUSE_MS = 300;
/** Bound `finish_s` of the sites, and the time that a job may be idle then. */
const FINISH_MS = 14_000;
const IDLE_LIMIT_MS = 3000;
const POLL_MS = 50;
const READS_AT_A_TIME = 20;
const HOST = "jobs.example";
const PREFIX = "/queue/";
const SERVICE = "pool";
const QUEUE = {
  name: "queue",
  host: HOST,
  pathPrefix: PREFIX,
  service: SERVICE,
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 1000,
};

export const Exit = { Held: 0, Broken: 1, NotRun: 2 };

/** Whether the disruption of the case is wanted. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** A process of the system, which is started again whenever it ends. */
class Entry {
  child;
  isReady = false;
  /** How often the process ended without a signal of this script. */
  exits = 0;
  #misses = 0;
  #isWanted = true;
  #isEndExpected = false;
  #options;

  constructor(options) {
    this.#options = options;
    this.name = options.name;
    this.listen = options.listen;
    this.#spawn();
    void this.#checkReadiness();
  }

  kill(signal) {
    this.#isEndExpected = true;
    this.child?.kill(signal);
  }

  close() {
    this.#isWanted = false;
    this.child?.kill("SIGKILL");
  }

  #spawn() {
    const { command, settings, log, record, name } = this.#options;
    this.#isEndExpected = false;
    const [program, ...words] = command;
    const args = words.map((word) => (word === "SETTINGS" ? settings : word));
    this.child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child.stdout.pipe(log, { end: false });
    this.child.stderr.pipe(log, { end: false });
    this.child.on("exit", (code, signal) => {
      const how = signal ?? `status ${code}`;
      this.isReady = false;
      if (!this.#isWanted) return;
      if (this.#isEndExpected) record(`process ${name} ended (${how})`);
      else {
        this.exits += 1;
        record(`process ${name} ended by itself (${how})`);
      }
      setTimeout(() => this.#isWanted && this.#spawn(), RESTART_DELAY_MS);
    });
  }

  /** Asks whether the process is ready, as the platform's ingress does. */
  async #checkReadiness() {
    while (this.#isWanted) {
      const reply = await call(this.listen.readiness, {
        path: "/api/ready",
        timeoutMs: READY_INTERVAL_MS,
      });
      this.#misses = reply.status === 200 ? 0 : this.#misses + 1;
      if (reply.status === 200) this.isReady = true;
      else if (this.#misses >= READY_MISSES) this.isReady = false;
      await sleep(READY_INTERVAL_MS);
    }
  }
}

export class World {
  store = new Store();
  entries = [];
  /** Accepted jobs by id. */
  accepted = new Map();
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #lines = [];
  #startMs = performance.now();
  #turn = 0;
  #recordFile;
  #log;

  constructor(folder) {
    this.#recordFile = join(folder, "record.txt");
    this.#log = createWriteStream(join(this.#folder, "entries.log"));
    this.fleet = new Fleet({
      store: this.store,
      service: SERVICE,
      onEvent: (text) => this.record(text),
    });
    process.on("exit", () => this.#killAll());
    setTimeout(() => {
      this.finish(Exit.NotRun, "the case couldn't run: it took too long");
    }, TOTAL_LIMIT_MS).unref();
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.on(signal, () => process.exit(Exit.NotRun));
    }
  }

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  /** Path of the log of the entry processes, while this runs. */
  get logPath() {
    return join(this.#folder, "entries.log");
  }

  record(text) {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds}  ${text}`);
  }

  /** Starts the store, the workers and the entries; waits until all are ready. */
  async start({ entries, workers }) {
    const storeAddress = await this.store.listen();
    this.store.write([
      {
        table: "op",
        key: "config",
        text: JSON.stringify({
          version: 1,
          routes: [QUEUE],
          services: [{ name: SERVICE, enforcesCapacity: true }],
          limits: {},
        }),
      },
    ]);
    for (let index = 0; index < workers; index += 1) await this.fleet.add();
    const command = readRunCommand();
    const ports = await findFreePorts(entries * 4);
    for (let index = 0; index < entries; index += 1) {
      const [front, readiness, control, relay] = ports.slice(4 * index);
      const listen = {
        front: `127.0.0.1:${front}`,
        readiness: `127.0.0.1:${readiness}`,
        control: `127.0.0.1:${control}`,
      };
      const name = `front-${index}`;
      const settings = join(this.#folder, `${name}.ini`);
      const fields = {
        nodeName: name,
        zone: `zone-${"abc"[index % 3]}`,
        ip: "127.0.0.1",
        listen,
        portRange: [relay],
        platform: { address: storeAddress },
        bounds: { configApplyMs: 2000, maxHoldMs: 6000, restoreMs: 100 },
        limits: { cpuShare: 0.675, cores: 1 },
      };
      writeFileSync(settings, renderSettings(fields));
      const record = (text) => this.record(text);
      const options = { name, listen, settings, command, log: this.#log };
      this.entries.push(new Entry({ ...options, record }));
    }
    await this.waitFor("all entries are ready", 20_000, () =>
      this.entries.every(({ isReady }) => isReady),
    );
  }

  /** Waits for a condition; ends the script as not run when it isn't met. */
  async waitFor(what, limitMs, condition) {
    const untilMs = this.nowMs + limitMs;
    while (!condition()) {
      if (this.nowMs > untilMs) {
        this.record(`not met within ${limitMs} ms: ${what}`);
        this.finish(Exit.NotRun, `the case couldn't run: ${what}`);
      }
      await sleep(POLL_MS);
    }
  }

  /** The entry that holds the leadership by the row in the store. */
  findLeader() {
    const text = this.store.read("leader", "current");
    const holder = text && JSON.parse(text).holder;
    return this.entries.find(({ name }) => name === holder);
  }

  /**
   * Hands a job in: tries again at another entry after no answer, a 502 or a
   * 504, and some time after a refusal. True once it was accepted.
   */
  async submit(id, job) {
    this.fleet.describeJob(id, job.steps);
    for (let tries = 0; tries < CLIENT_TRIES; tries += 1) {
      const reply = await this.#call("POST", id, JSON.stringify(job));
      if (reply.status >= 200 && reply.status < 300) {
        this.accepted.set(id, { job, acceptedMs: this.nowMs });
        return true;
      }
      await sleep(CLIENT_PAUSE_MS);
    }
    return false;
  }

  /** State of a job as a GET tells it, or the status or error without one. */
  async readState(id) {
    const reply = await this.#call("GET", id);
    if (reply.status !== 200) return `${reply.status || "no answer"}`;
    return JSON.parse(reply.text).state;
  }

  /**
   * Checks the accepted jobs as the rule LOST does, `finish_s` after the end of
   * the traffic: each is known and answered, and none has nothing running for
   * 3 s while there is room for it twice over and under half of all capacity is
   * in use. The jobs must have no steps that wait for a time. Returns a
   * description of each breach.
   */
  async findLost() {
    this.record(`the traffic has ended; jobs are asked for in ${FINISH_MS} ms`);
    await sleep(FINISH_MS);
    const breaches = [];
    const open = new Map();
    const jobs = [...this.accepted];
    const states = [];
    while (states.length < jobs.length) {
      const ids = jobs.slice(states.length, states.length + READS_AT_A_TIME);
      const reads = ids.map(([id]) => this.readState(id));
      states.push(...(await Promise.all(reads)));
    }
    for (const [index, [id, { job }]] of jobs.entries()) {
      const state = states[index];
      if (state === "completed") continue;
      if (state === "queued" || state === "running") {
        if (isDue(job)) open.set(id, job);
      } else breaches.push(`accepted job ${id} is answered with: ${state}`);
    }
    const untilMs = this.nowMs + IDLE_LIMIT_MS;
    while (this.nowMs < untilMs && open.size > 0) {
      for (const [id, job] of open) {
        const isBusy = this.fleet.activeRunsOf(id).length > 0;
        if (isBusy || !this.#hasRoom(job)) open.delete(id);
      }
      await sleep(POLL_MS);
    }
    for (const id of open.keys()) {
      const state = await this.readState(id);
      if (state === "completed") continue;
      const runs = this.fleet.history.filter(({ task }) =>
        task.startsWith(`${id}.`),
      );
      breaches.push(
        `accepted job ${id} (${state}, ${runs.length} runs so far) had nothing running for ${IDLE_LIMIT_MS} ms`,
      );
    }
    for (const breach of breaches) this.record(`LOST: ${breach}`);
    return breaches;
  }

  /** Whether the first step fits twice and under half of the room is in use. */
  #hasRoom({ steps: [{ count, cpu = 0 }] }) {
    const { capacity, cpuInUse } = this.fleet;
    return cpuInUse < capacity / 2 && capacity - cpuInUse >= 2 * count * cpu;
  }

  async #call(method, id, body) {
    const ready = this.entries.filter(({ isReady }) => isReady);
    const usable = ready.length > 0 ? ready : this.entries;
    this.#turn += 1;
    const entry = usable[this.#turn % usable.length];
    const reply = await call(entry.listen.front, {
      method,
      path: `${PREFIX}${id}`,
      body,
      timeoutMs: CLIENT_TIMEOUT_MS,
    });
    const answer = reply.status
      ? `${reply.status} ${reply.text.trim().slice(0, 100)}`
      : `no answer (${reply.error})`;
    const sent = body === undefined ? "" : ` ${body.slice(0, 300)}`;
    this.record(`${method} ${id} at ${entry.name}${sent} -> ${answer}`);
    return reply;
  }

  #killAll() {
    for (const entry of this.entries) entry.close();
  }

  /** Writes the record, ends all processes and this script. */
  finish(exit, text) {
    this.record(text);
    this.#killAll();
    writeFileSync(this.#recordFile, `${this.#lines.join("\n")}\n`);
    if (process.env.KEEP_LOG) {
      writeFileSync(process.env.KEEP_LOG, readFileSync(this.logPath));
    }
    console.log(text);
    rmSync(this.#folder, { recursive: true, force: true });
    process.exit(exit);
  }
}

/** Runs a scenario; what it throws means that the case couldn't run. */
export async function runScenario(folder, scenario) {
  const world = new World(folder);
  try {
    await scenario(world);
  } catch (error) {
    world.finish(Exit.NotRun, `the case couldn't run: ${error.stack}`);
  }
}

/** Whether all occurrences of a job are due. */
function isDue({ repeatCount = 0, startAtMs = 0, intervalMs = 0 }) {
  if (repeatCount === 0) return true;
  return Date.now() >= startAtMs + (repeatCount - 1) * intervalMs;
}

/** Id of a job: 16 hexadecimal digits. */
export function jobId(number) {
  return createHash("sha256")
    .update(`job ${number}`)
    .digest("hex")
    .slice(0, 16);
}

function call(address, { method = "GET", path, body, timeoutMs }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const headers = {
      host: HOST,
      "content-type": "application/json",
      "laburnumtrack-request-deadline": String(timeoutMs),
    };
    const request = httpRequest(
      { host, port, method, path, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString("utf8");
          resolve({ status: response.statusCode, text });
        });
        response.on("error", fail);
      },
    );
    const fail = (error) => {
      clearTimeout(timer);
      resolve({ status: 0, text: "", error: error.code ?? error.message });
    };
    const timer = setTimeout(() => {
      request.destroy(new Error(`nothing after ${timeoutMs} ms`));
    }, timeoutMs);
    request.on("error", fail);
    request.end(body);
  });
}

/** Words of the deploy file's run command; SETTINGS is the settings file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const words = run.split(" ");
  return words.map((word) =>
    word === "/etc/laburnumtrack/local.yaml" ? "SETTINGS" : word,
  );
}

/** Fills in the deploy file's template for settings. */
function renderSettings(fields) {
  const template = readFileSync(join(ROOT, "deploy", "entry.ini"), "utf8");
  const find = (path) =>
    path.split(".").reduce((value, name) => value?.[name], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, path, section) =>
      find(path) ? section : "",
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => find(path) ?? "");
}

async function findFreePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}
