// Stand-in of a worker: starts, stops, leases, fences and lists of ends.
import http from "node:http";

const MAX_HOLD_MS = 6000;
const MAX_WAIT_MS = 2000;
const ENDS_PER_REPORT = 500;
const STARTUP_MS = 300;
const CAPACITY = { cpu: 16_000, memMb: 64_000, gpu: 0 };

/** What a run does: how long it works (ms), and how it ends. */
const FOREVER = { workMs: Number.POSITIVE_INFINITY, end: "done" };

export class Worker {
  /** Decides what a started run does, by its task, run, spec and worker. */
  plan = () => FOREVER;
  /** Fifth entry of a run's row: tail in ms, or CPU in use. */
  measure = () => 100;
  /** Called with what happened, for the record. */
  note = () => {};
  isGuarding = true;
  #id;
  #address;
  #server;
  #bornMs = 0;
  #startedMs = 0;
  #fence = 0;
  #leaseMs = 0;
  #lastEnd = 0;
  /** Number of the last end at the last lapse of the lease. */
  #lapsedEnd = 0;
  #runs = new Map();
  #over = new Map();
  #ends = [];
  #waiting = new Set();
  #timer;

  constructor({ id, address, pool, rack }) {
    this.#id = id;
    this.#address = address;
    this.pool = pool;
    this.rack = rack;
  }

  get id() {
    return this.#id;
  }

  get isUp() {
    return this.#server !== undefined;
  }

  /** Names and numbers of the runs at work. */
  get running() {
    return [...this.#runs.values()].map(({ task, run }) => ({ task, run }));
  }

  /** Has a run fail by its own fault. */
  fail(task) {
    const entry = this.#runs.get(task);
    if (entry !== undefined) this.#end(entry, "failed");
  }

  /** The entry that it writes to the store. */
  get entry() {
    return {
      service: this.pool,
      address: this.#address,
      zone: "a",
      version: "1.0",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      capacity: CAPACITY,
      labels: ["a", this.rack],
      born: this.#bornMs,
    };
  }

  /** Starts a life of the worker. */
  async start(id = this.#id) {
    this.#id = id;
    this.#bornMs = Date.now();
    this.#startedMs = performance.now();
    this.#fence = 0;
    this.#leaseMs = 0;
    this.#lastEnd = 0;
    this.#lapsedEnd = 0;
    this.#runs.clear();
    this.#over.clear();
    this.#ends = [];
    const [host, port] = this.#address.split(":");
    const server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => server.listen(Number(port), host, resolve));
    this.#server = server;
    this.#timer = setInterval(() => this.#checkLease(), 10);
    this.note("worker up", { worker: this.#id });
  }

  /** Ends this life of the worker with all that runs on it. */
  crash() {
    if (this.#server === undefined) return;
    for (const { task, run, timer } of this.#runs.values()) {
      clearTimeout(timer);
      this.note("run lost", { worker: this.#id, task, run });
    }
    this.#runs.clear();
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    this.#server = undefined;
    this.note("worker crash", { worker: this.#id });
  }

  get #clockMs() {
    return Math.floor(performance.now() - this.#startedMs);
  }

  async #handle(request, response) {
    const server = this.#server;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.#server !== server) return;
    const expected = request.headers["laburnumtrack-expect-instance"];
    if (expected !== undefined && expected !== this.#id) {
      this.#send(response, 421, {});
      return;
    }
    const order = JSON.parse(Buffer.concat(chunks).toString());
    const fenceToken = order.fenceToken ?? 0;
    if (fenceToken < this.#fence) {
      this.#send(response, 409, { reason: "fence" });
      return;
    }
    this.#fence = fenceToken;
    switch (request.url) {
      case "/api/run-start":
        this.#send(response, ...this.#onStart(order));
        break;
      case "/api/run-stop":
        this.#onStop(order);
        this.#send(response, 200, {});
        break;
      case "/api/hold":
        await this.#onHold(order, response);
        break;
      case "/api/pace":
        this.#send(response, 200, {});
        break;
      default:
        this.#send(response, 404, {});
    }
  }

  #onStart({ task, run, spec, deadlineMs = 0 }) {
    const known = this.#runs.get(task);
    if (known?.run === run) return [200, {}];
    const isOver = run <= (this.#over.get(task) ?? 0);
    if (isOver || (known !== undefined && run < known.run)) {
      this.#extend(deadlineMs);
      this.note("start refused", {
        worker: this.#id,
        task,
        run,
        reason: "old",
      });
      return [409, { reason: "old" }];
    }
    if (deadlineMs <= this.#clockMs) return [409, { reason: "late" }];
    this.#extend(deadlineMs);
    const { workMs, end } = this.plan({ task, run, spec, worker: this });
    const startMs = performance.now();
    const entry = { task, run, workMs, startMs, timer: undefined };
    this.#runs.set(task, entry);
    this.note("run start", { worker: this.#id, task, run });
    if (Number.isFinite(workMs)) {
      entry.timer = setTimeout(() => this.#end(entry, end), workMs);
    }
    return [200, {}];
  }

  #onStop({ task, run }) {
    const known = this.#runs.get(task);
    this.#over.set(task, Math.max(run, this.#over.get(task) ?? 0));
    if (known !== undefined && known.run <= run) this.#end(known, "stopped");
  }

  async #onHold({ lastSeen = 0, deadlineMs = 0, waitMs = 0 }, response) {
    this.#extend(deadlineMs);
    for (const [number, task, run, how] of this.#ends) {
      if (number > lastSeen) continue;
      const hasLapsed = number <= this.#lapsedEnd;
      this.note("end noted", { worker: this.#id, task, run, how, hasLapsed });
    }
    this.#ends = this.#ends.filter(([number]) => number > lastSeen);
    if (this.#ends.length === 0 && waitMs > 0) await this.#nextEnd(waitMs);
    const running = [...this.#runs.values()].map((entry) => {
      const { task, run } = entry;
      return [task, run, "", percentOf(entry), this.measure(task)];
    });
    const ended = this.#ends.slice(0, ENDS_PER_REPORT);
    this.#send(response, 200, { running, ended });
  }

  #nextEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(MAX_WAIT_MS, waitMs));
      this.#waiting.add(wake);
    });
  }

  #end(entry, how) {
    const { task, run, timer } = entry;
    if (this.#runs.get(task) !== entry) return;
    clearTimeout(timer);
    this.#runs.delete(task);
    this.#over.set(task, Math.max(run, this.#over.get(task) ?? 0));
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, task, run, how, ""]);
    this.note("run end", { worker: this.#id, task, run, how });
    for (const wake of this.#waiting) wake();
  }

  /** The lease never shortens, and is at most `maxHoldMs` long. */
  #extend(deadlineMs) {
    const limitMs = this.#clockMs + MAX_HOLD_MS;
    this.#leaseMs = Math.max(this.#leaseMs, Math.min(deadlineMs, limitMs));
  }

  #checkLease() {
    if (this.#clockMs < this.#leaseMs) return;
    this.#lapsedEnd = this.#lastEnd;
    for (const entry of [...this.#runs.values()]) this.#end(entry, "lapsed");
  }

  #send(response, status, body) {
    const text = JSON.stringify({
      clockMs: this.#clockMs,
      born: this.#bornMs,
      ...body,
    });
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
  }
}

/** Progress of a run; of one that lasts, whether it is at work. */
function percentOf({ workMs, startMs }) {
  const workedMs = performance.now() - startMs;
  if (!Number.isFinite(workMs)) return workedMs >= STARTUP_MS ? 100 : 0;
  return Math.min(99, Math.floor((100 * workedMs) / workMs));
}
