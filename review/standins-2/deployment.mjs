// A small deployment on loopback addresses: entry processes, started with the
// command of the deploy file, with a store and workers that are stand-ins.
import { spawn } from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { Store, sleep } from "./store.mjs";
import { Worker } from "./worker.mjs";

// A loopback address of its own: no other process takes a port there.
const HOST = `127.100.${(process.pid >> 8) & 255}.${1 + (process.pid % 254)}`;
const POOL = "pool-a";
const ROOT = path.resolve(import.meta.dirname, "../..");
/** Values of a small deployment, as the settings file names them. */
const BOUNDS = {
  "bounds.configApplyMs": 2000,
  "bounds.maxHoldMs": 6000,
  "bounds.restoreMs": 100,
  "bounds.status_s": 120,
  "limits.cpuShare": 0.675,
  "limits.cores": 1,
};
const DEADLINE_HEADER = "laburnumtrack-request-deadline";

export class Deployment {
  store = new Store();
  workers = [];
  entries = [];
  queue = {
    name: "jobs",
    host: "jobs.example",
    pathPrefix: "/jobs/",
    service: POOL,
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
  };
  #startMs = performance.now();
  #record;
  #directory = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));

  constructor(recordPath) {
    this.#record = fs.openSync(recordPath, "w");
    process.once("exit", () => this.#killAll());
  }

  /** Seconds since the start. */
  get nowS() {
    return (performance.now() - this.#startMs) / 1000;
  }

  /** Writes a line to the record. */
  note(event, fields = {}) {
    const text = JSON.stringify({
      t: Number(this.nowS.toFixed(3)),
      event,
      ...fields,
    });
    fs.writeSync(this.#record, `${text}\n`);
  }

  async start({ entries, workers }) {
    const [storePort, ...ports] = await freePorts(1 + 4 * entries + workers);
    this.storeAddress = `${HOST}:${storePort}`;
    await this.store.listen(this.storeAddress);
    this.putConfig(1);
    for (let index = 0; index < workers; index += 1) {
      const worker = new Worker({
        id: `worker-${index}`,
        address: `${HOST}:${ports.pop()}`,
        pool: POOL,
        rack: `r1-${1 + (index % 2)}`,
      });
      worker.note = (event, fields) => this.note(event, fields);
      this.workers.push(worker);
      await this.startWorker(worker);
    }
    for (let index = 0; index < entries; index += 1) {
      const entry = {
        name: `front-a-${index + 1}`,
        caller: `${HOST}:${ports.pop()}`,
        ready: `${HOST}:${ports.pop()}`,
        admin: `${HOST}:${ports.pop()}`,
        relayPort: ports.pop(),
        isWanted: true,
      };
      entry.settings = this.#writeSettings(entry);
      this.entries.push(entry);
      this.startEntry(entry);
    }
    for (const entry of this.entries) await this.#waitUntilReady(entry);
    this.note("entries ready");
  }

  putConfig(version, changes = {}) {
    const services = [{ name: POOL, enforcesCapacity: true }];
    const routes = [{ ...this.queue, ...changes }];
    this.store.put("op", "config", { version, routes, services, limits: {} });
    this.note("config acknowledged", { version });
  }

  /** Starts a worker, also again, and registers it. */
  async startWorker(worker, id) {
    await worker.start(id);
    this.store.put("servers", worker.id, worker.entry);
  }

  startEntry(entry) {
    const deploy = fs.readFileSync(
      path.join(ROOT, "deploy/system.toml"),
      "utf8",
    );
    const [, command] = /^run = "(.*)"$/m.exec(deploy);
    const [program, ...words] = command
      .replace("/etc/laburnumtrack/local.yaml", entry.settings)
      .split(" ");
    const log = fs.openSync(
      path.join(this.#directory, `${entry.name}.log`),
      "a",
    );
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, LABURNUMTRACK_NODE_FILE: entry.settings },
      stdio: ["ignore", log, log],
    });
    entry.process = child;
    entry.isWanted = true;
    this.note("process start", { entry: entry.name });
    child.once("exit", (code, signal) => {
      fs.closeSync(log);
      const isOwn = entry.isWanted && entry.process === child;
      this.note("process end", { entry: entry.name, code, signal, isOwn });
      if (isOwn) entry.ownEnds = (entry.ownEnds ?? 0) + 1;
    });
  }

  /** Sends a signal to an entry process. */
  signal(entry, name) {
    if (name === "SIGKILL" || name === "SIGTERM") entry.isWanted = false;
    this.note("signal", { entry: entry.name, name });
    entry.process.kill(name);
  }

  /** The entry whose process leads, by the row in the store. */
  get leader() {
    const row = this.store.read("leader", "", "current");
    return this.entries.find(({ name }) => name === row?.holder);
  }

  /** One call of a client; status 0 if there is no answer. */
  call(entry, method, id, { body, timeoutMs = 3000 } = {}) {
    const [host, port] = entry.caller.split(":");
    const { pathPrefix, host: name } = this.queue;
    return new Promise((resolve) => {
      const done = (status, text = "") => {
        clearTimeout(timer);
        const state = parse(text)?.state;
        this.note("answer", { entry: entry.name, method, id, status, state });
        resolve({ status, body: parse(text) });
      };
      this.note("call", { entry: entry.name, method, id });
      const request = http.request(
        {
          host,
          port,
          method,
          path: pathPrefix + id,
          agent: false,
          headers: {
            host: name,
            "content-type": "application/json",
            [DEADLINE_HEADER]: timeoutMs,
          },
        },
        (response) => {
          const chunks = [];
          response.on("data", (chunk) => chunks.push(chunk));
          response.on("end", () =>
            done(response.statusCode, Buffer.concat(chunks).toString()),
          );
          response.on("error", () => done(0));
        },
      );
      const timer = setTimeout(() => request.destroy(), timeoutMs);
      request.on("error", () => done(0));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Sends a call to one entry after the other until it is answered for good. */
  async insist(method, id, options, untilS = this.nowS + 15) {
    for (let turn = 0; this.nowS < untilS; turn += 1) {
      const entry = this.entries[turn % this.entries.length];
      const answer = await this.call(entry, method, id, options);
      const { status } = answer;
      if (status !== 0 && status < 500 && status !== 429) return answer;
      await sleep(300);
    }
    return { status: 0 };
  }

  async close() {
    for (const worker of this.workers) worker.crash();
    this.store.close();
    this.#killAll();
    const ended = this.entries.map(({ process: child }) =>
      child.exitCode === null && child.signalCode === null
        ? new Promise((resolve) => child.once("exit", resolve))
        : undefined,
    );
    await Promise.all(ended);
    if (process.env.KEEP_LOGS !== "1") {
      fs.rmSync(this.#directory, { recursive: true, force: true });
    } else console.log(this.#directory);
  }

  #killAll() {
    for (const entry of this.entries) {
      entry.isWanted = false;
      entry.process?.kill("SIGKILL");
    }
  }

  #writeSettings({ name, caller, ready, admin, relayPort }) {
    const values = {
      ...BOUNDS,
      nodeName: name,
      zone: "a",
      ip: HOST,
      "listen.front": caller,
      "listen.readiness": ready,
      "listen.control": admin,
      "portRange.0": relayPort,
      "platform.address": this.storeAddress,
    };
    const template = fs.readFileSync(
      path.join(ROOT, "deploy/entry.ini"),
      "utf8",
    );
    const text = template
      .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, key, inner) =>
        values[key] === undefined ? "" : inner,
      )
      .replace(/\{\{([\w.]+)\}\}/g, (_, key) => values[key] ?? "");
    const file = path.join(this.#directory, `${name}.ini`);
    fs.writeFileSync(file, text);
    return file;
  }

  async #waitUntilReady({ name, ready }) {
    for (let tries = 0; tries < 150; tries += 1) {
      const isReady = await fetch(`http://${ready}/api/ready`).then(
        ({ status }) => status === 200,
        () => false,
      );
      if (isReady) return;
      await sleep(100);
    }
    throw new Error(`${name} is not ready`);
  }
}

/**
 * Plays a case and ends the process: with 1 if it returns a text that says how
 * the rule was broken, with 0 if it returns none, with 2 if it fails.
 */
export async function play(directory, run) {
  process.once("uncaughtException", (error) => {
    console.error(error);
    process.exit(2);
  });
  // The entry processes are ended as the script exits.
  for (const name of ["SIGINT", "SIGTERM"]) {
    process.once(name, () => process.exit(2));
  }
  const deployment = new Deployment(path.join(directory, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  let status = 2;
  try {
    const broken = await run(deployment, hasTrouble);
    const verdict = broken ?? "the rule held";
    deployment.note("verdict", { verdict });
    console.log(verdict);
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    deployment.note("could not run", { error: String(error?.stack) });
    console.error(error);
  }
  await deployment.close();
  process.exit(status);
}

async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, HOST, resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Waits until a condition holds; false if it doesn't in time. */
export async function waitFor(condition, limitMs) {
  const untilMs = performance.now() + limitMs;
  while (performance.now() < untilMs) {
    if (condition()) return true;
    await sleep(20);
  }
  return condition();
}

export { sleep };
