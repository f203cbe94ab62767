// Stand-in of a worker: starts, stops and lists runs, keeps a lease, guards
// its capacity, and writes its entry in the store's registry.
import { createServer } from "node:http";
import { sleep } from "./store.mjs";

const HEARTBEAT_MS = 1500;
/** Silence after which the platform removes an entry, in heartbeats. */
const SILENT_HEARTBEATS = 3;
const MAX_ENDS = 500;
/** Time from the start of a lasting task until it is at work, in ms. */
const STARTUP_MS = 300;
const STOP_MS = 50;

export class Worker {
  isUp = false;
  /** Address that its entry names, if it isn't its own. */
  publicAddress = undefined;
  /** Unix ms of the start of this boot. */
  born = 0;
  #options;
  #id;
  #server;
  #sockets = new Set();
  #boot = 0;
  #sequence = 0;
  #port = 0;
  #state;

  /**
   * `options`: id, store, service, zone, labels, capacity, maxHoldMs,
   * `needsOf(task)`, `{cpu, memMb}`, and `durationOf(task)`, in ms; infinity for
   * a task that lasts. `endOf(task)` tells how a run ends by itself, "done" by
   * default. `onEvent` gets `{worker, born, task, run, what}` for each start and
   * each end, `onSeen` gets `{task, run, how}` for each end that is taken note of.
   */
  constructor(options) {
    this.#options = options;
    this.#id = options.id;
  }

  get id() {
    return this.#id;
  }

  get capacity() {
    return this.#options.capacity;
  }

  /** Address at which it listens. */
  get ownAddress() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Runs at work or being stopped now. */
  get runs() {
    return this.isUp ? [...this.#state.runs.values()] : [];
  }

  /** Starts a boot at the address of the former one, under its id or another. */
  async start(id = this.#id) {
    this.#boot += 1;
    this.#id = id;
    this.born = Date.now();
    this.#sequence = 0;
    this.#state = {
      startMs: performance.now(),
      fence: 0,
      leaseMs: 0,
      runs: new Map(),
      ends: [],
      lastEnd: 0,
      /** Highest run that was stopped or ended here, by task. */
      over: new Map(),
      waiting: new Set(),
    };
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(this.#port, "127.0.0.1", resolve);
    });
    this.#port = this.#server.address().port;
    this.isUp = true;
    void this.#beat(this.#boot);
    void this.#work(this.#boot);
  }

  /** Crashes: everything ends at once, and nothing is remembered. */
  crash() {
    this.isUp = false;
    for (const run of this.#state.runs.values()) this.#tell(run, "gone");
    this.#state.runs.clear();
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    const { id } = this;
    const boot = this.#boot;
    setTimeout(() => {
      if (this.#boot === boot || this.id !== id) {
        this.#options.store.put("servers", id, undefined);
      }
    }, SILENT_HEARTBEATS * HEARTBEAT_MS).unref();
  }

  async #beat(boot) {
    while (this.#boot === boot && this.isUp) {
      const { store, service, zone, labels, capacity } = this.#options;
      this.#sequence += 1;
      store.put("servers", this.id, {
        service,
        address: this.publicAddress ?? this.ownAddress,
        zone,
        version: "1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 0,
        sequence: this.#sequence,
        born: this.born,
        capacity,
        labels,
      });
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Ends runs that are done, and all of them when the lease has expired. */
  async #work(boot) {
    while (this.#boot === boot && this.isUp) {
      const nowMs = this.#clockMs();
      for (const run of [...this.#state.runs.values()]) {
        if (nowMs >= this.#state.leaseMs) this.#end(run, "lapsed");
        else if (nowMs >= run.stopMs) this.#end(run, "stopped");
        else if (nowMs - run.startMs >= run.durationMs) {
          this.#end(run, this.#options.endOf?.(run.task) ?? "done");
        }
      }
      await sleep(10);
    }
  }

  #clockMs() {
    return Math.floor(performance.now() - this.#state.startMs);
  }

  #end(run, how) {
    const state = this.#state;
    state.runs.delete(`${run.task} ${run.run}`);
    state.lastEnd += 1;
    state.ends.push([state.lastEnd, run.task, run.run, how, ""]);
    state.over.set(run.task, Math.max(state.over.get(run.task) ?? 0, run.run));
    this.#tell(run, how);
    for (const wake of [...state.waiting]) wake();
  }

  #tell({ task, run }, what) {
    this.#options.onEvent?.({
      worker: this.id,
      born: this.born,
      task,
      run,
      what,
    });
  }

  async #handle(request, response) {
    const boot = this.#boot;
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (this.#boot !== boot || !this.isUp) return;
    const intended = request.headers["laburnumtrack-expect-instance"];
    if (intended !== undefined && intended !== this.id) {
      this.#send(response, 421, {});
      return;
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const body = text === "" ? {} : JSON.parse(text);
    const { fenceToken = 0 } = body;
    if (fenceToken < this.#state.fence) {
      this.#send(response, 409, { reason: "fence" });
      return;
    }
    this.#state.fence = fenceToken;
    switch (request.url) {
      case "/api/run-start":
        this.#onStart(body, response);
        break;
      case "/api/run-stop":
        this.#onStop(body, response);
        break;
      case "/api/pace":
        this.#send(response, 200, {});
        break;
      case "/api/hold":
        await this.#onHold(body, response, boot);
        break;
      default:
        this.#send(response, 404, {});
    }
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longestMs = this.#clockMs() + this.#options.maxHoldMs;
    const untilMs = Math.min(deadlineMs, longestMs);
    this.#state.leaseMs = Math.max(this.#state.leaseMs, untilMs);
  }

  #onStart(order, response) {
    const { task, run, deadlineMs } = order;
    const state = this.#state;
    const key = `${task} ${run}`;
    const refuse = (reason) => this.#send(response, 409, { reason });
    if (state.runs.has(key)) {
      this.#extendLease(deadlineMs);
      this.#send(response, 200, {});
      return;
    }
    if (run <= (state.over.get(task) ?? 0)) {
      this.#extendLease(deadlineMs);
      refuse("old");
      return;
    }
    if (deadlineMs <= this.#clockMs()) {
      refuse("late");
      return;
    }
    const { cpu, memMb } = this.#options.needsOf(task);
    let freeCpu = this.capacity.cpu;
    let freeMb = this.capacity.memMb;
    for (const other of state.runs.values()) {
      freeCpu -= other.cpu;
      freeMb -= other.memMb;
    }
    if (cpu > freeCpu || memMb > freeMb) {
      this.#extendLease(deadlineMs);
      refuse("room");
      return;
    }
    this.#extendLease(deadlineMs);
    const started = {
      task,
      run,
      cpu,
      memMb,
      startMs: this.#clockMs(),
      stopMs: Number.POSITIVE_INFINITY,
      durationMs: this.#options.durationOf(task),
    };
    state.runs.set(key, started);
    this.#tell(started, "start");
    this.#send(response, 200, {});
  }

  #onStop({ task, run }, response) {
    const state = this.#state;
    state.over.set(task, Math.max(state.over.get(task) ?? 0, run));
    const running = state.runs.get(`${task} ${run}`);
    if (running !== undefined) {
      running.stopMs = Math.min(running.stopMs, this.#clockMs() + STOP_MS);
    }
    this.#send(response, 200, {});
  }

  async #onHold({ lastSeen = 0, deadlineMs, waitMs = 0 }, response, boot) {
    const state = this.#state;
    this.#extendLease(deadlineMs);
    for (const [number, task, run, how] of state.ends) {
      if (number <= lastSeen) this.#options.onSeen?.({ task, run, how });
    }
    state.ends = state.ends.filter(([number]) => number > lastSeen);
    if (state.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          state.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        state.waiting.add(wake);
      });
    }
    if (this.#boot !== boot || !this.isUp) return;
    this.#send(response, 200, {
      running: [...state.runs.values()].map((run) => this.#describe(run)),
      ended: state.ends.slice(0, MAX_ENDS),
    });
  }

  #describe({ task, run, startMs, durationMs, cpu }) {
    const workedMs = this.#clockMs() - startMs;
    const isLasting = durationMs === Number.POSITIVE_INFINITY;
    const percent = isLasting
      ? workedMs >= STARTUP_MS
        ? 100
        : 0
      : Math.min(99, Math.floor((100 * workedMs) / durationMs));
    return [task, run, "", percent, cpu];
  }

  #send(response, status, body) {
    if (response.destroyed) return;
    const { born } = this;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({ clockMs: this.#clockMs(), born, ...body }));
  }
}
