// Starts the project's entry processes with the deploy file's command and
// settings template, against a stand-in of the store, on loopback addresses.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request as send } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { Store, sleep } from "./store.mjs";

const ROOT = path.resolve(fileURLToPath(import.meta.url), "../../..");
const SETTINGS_PATH = "/etc/laburnumtrack/local.yaml";

/** Bounds of the site smil-track. */
export const BOUNDS = {
  contactMs: 3000,
  ackMs: 4000,
  configApplyMs: 2000,
  maxHoldMs: 6000,
  stopTimeoutMs: 200,
  cancel_ms: 3000,
  visible_ms: 3000,
  restoreMs: 100,
  status_s: 120,
};

export class Deployment {
  store = new Store();
  entries = [];
  startMs = performance.now();
  #folder = mkdtempSync(path.join(tmpdir(), "review-3-"));
  #recordFile;
  #cpuShare;

  constructor(caseFolder, { cpuShare = 0.675 } = {}) {
    this.#recordFile = path.join(caseFolder, "record.txt");
    this.#cpuShare = cpuShare;
    writeFileSync(this.#recordFile, "");
  }

  get nowS() {
    return (performance.now() - this.startMs) / 1000;
  }

  /** Adds a line to the record. */
  record(text) {
    appendFileSync(this.#recordFile, `${this.nowS.toFixed(3)} s ${text}\n`);
  }

  /** Starts the store with a configuration, and `count` entry processes. */
  async start(count, { routes, services }) {
    const storeAddress = await this.store.listen();
    this.store.put("op", "config", {
      version: 3,
      routes,
      services,
      limits: {},
    });
    // Addresses of its own keep runs at the same time apart.
    const [a, b] = randomBytes(2);
    for (let index = 0; index < count; index += 1) {
      const name = `front-a-${index + 1}`;
      const ip = `127.${a}.${b}.${index + 2}`;
      const ports = await freePorts(ip, 4);
      const [front, readiness, control] = ports.map((port) => `${ip}:${port}`);
      this.entries.push({
        name,
        front,
        readiness,
        fields: {
          nodeName: name,
          ip,
          zone: "a",
          listen: { front, readiness, control },
          portRange: [ports[3], ports[3]],
          limits: { cpuShare: this.#cpuShare, cores: 1 },
          bounds: BOUNDS,
          platform: { address: storeAddress },
        },
      });
    }
    for (const entry of this.entries) this.run(entry);
    for (const entry of this.entries) await this.#awaitReady(entry);
  }

  /** Starts the process of an entry. */
  run(entry) {
    const settings = path.join(this.#folder, `${entry.name}.ini`);
    const template = readFileSync(path.join(ROOT, "deploy/entry.ini"), "utf8");
    writeFileSync(settings, render(template, entry.fields));
    const deploy = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const command = /^run = "(.*)"$/m.exec(deploy)[1];
    const [program, ...args] = command
      .replace(SETTINGS_PATH, settings)
      .split(" ");
    entry.log = path.join(this.#folder, `${entry.name}.log`);
    const output = openSync(entry.log, "a");
    entry.process = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/" },
      stdio: ["ignore", output, output],
    });
    entry.hasExited = false;
    const started = entry.process;
    started.on("exit", () => {
      if (entry.process === started) entry.hasExited = true;
    });
  }

  async #awaitReady({ readiness }) {
    for (let tries = 0; tries < 150; tries += 1) {
      const { status } = await call(readiness, "GET", "/api/ready", {
        timeoutMs: 500,
      });
      if (status === 200) return;
      await sleep(100);
    }
    throw new Error(`${readiness} does not become ready`);
  }

  /** Name of the leading entry by the stored leadership row. */
  get leader() {
    return this.store.get("leader", "current")?.holder;
  }

  /** Waits until a condition holds; false when it doesn't in time. */
  async until(condition, limitMs) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (condition()) return true;
      await sleep(20);
    }
    return condition();
  }

  /** Sends a client's request; status 0: no response. */
  async client(entry, method, jobPath, { body, timeoutMs = 3000 } = {}) {
    const sentS = this.nowS;
    const answer = await call(entry.front, method, jobPath, {
      body,
      timeoutMs,
      headers: {
        host: "jobs.example",
        "laburnumtrack-request-deadline": String(timeoutMs),
      },
    });
    const { status, text } = answer;
    const shown = status === 0 ? "no response" : `${status} ${text.trim()}`;
    this.record(
      `client: ${method} ${jobPath} to ${entry.name}, sent at ${sentS.toFixed(3)} s: ${shown}`,
    );
    return answer;
  }

  /** Ends all processes and removes the temporary folder. */
  async stop({ keepLogs = false } = {}) {
    for (const { process: child, hasExited } of this.entries) {
      if (child !== undefined && !hasExited) child.kill("SIGKILL");
    }
    await this.until(
      () => this.entries.every(({ hasExited }) => hasExited !== false),
      3000,
    );
    this.store.close();
    if (keepLogs) console.log(`logs: ${this.#folder}`);
    else rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A new id of a job. */
export function newJobId() {
  return randomBytes(8).toString("hex");
}

/** Runs a case; its exit status is 1 if the rule was broken, 0 if it held. */
export async function runCase(main) {
  try {
    process.exit((await main()) ? 1 : 0);
  } catch (error) {
    console.error(error);
    process.exit(2);
  }
}

const agent = new Agent({ keepAlive: false });

function call(address, method, url, { body, headers = {}, timeoutMs }) {
  const [host, port] = address.split(":");
  const text = body === undefined ? "" : JSON.stringify(body);
  return new Promise((resolve) => {
    const none = () => resolve({ status: 0, text: "" });
    const sent = send(
      {
        host,
        port,
        method,
        path: url,
        agent,
        headers: {
          ...headers,
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
      },
      async (answer) => {
        const chunks = [];
        try {
          for await (const chunk of answer) chunks.push(chunk);
        } catch {
          none();
          return;
        }
        resolve({
          status: answer.statusCode,
          text: Buffer.concat(chunks).toString("utf8"),
        });
      },
    );
    sent.on("error", none);
    sent.setTimeout(timeoutMs, () => sent.destroy());
    sent.end(text);
  });
}

async function freePorts(ip, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, ip, resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Fills in a template as the deploy page says, as far as ours uses it. */
function render(template, fields) {
  const fieldOf = (name) =>
    name.split(".").reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) =>
      fieldOf(name) === undefined ? "" : inner,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => `${fieldOf(name) ?? ""}`);
}
