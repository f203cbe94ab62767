// Stand-in of the platform's metadata store: rows in tables, atomic
// transactions, range reads and a change feed over HTTP/1.1.
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_ROWS = 500;
const MAX_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const ROW_BYTES = 65_536;

/** What becomes of one call, as a case decides. */
export const Fate = {
  /** Carried out and answered. */
  Served: "served",
  /** Carried out `lateMs` later if its condition still holds; not answered. */
  Late: "late",
  /** Answered with 503; nothing was done. */
  Rejected: "down",
};

export class Store {
  #rows = new Map();
  #history = [];
  #waiting = new Set();
  #version = 0;
  #server;
  #sockets = new Set();
  /** Decides the fate of a transaction: `(info) => ({fate, lateMs})`. */
  decide = () => ({ fate: Fate.Served });
  /** Number of writing calls, and of those that were not answered. */
  writes = { all: 0, unanswered: 0 };

  async listen() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Writes a row as the operator or a worker; undefined removes it. */
  put(table, key, value) {
    this.#apply([{ table, part: "", key, value: encode(value) }]);
  }

  /** The decoded value of a row; undefined if there is none. */
  get(table, key, part = "") {
    const row = this.#rows.get(rowId({ table, part, key }));
    if (row === undefined) return undefined;
    return JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, "http://store");
    const name = `${request.method} ${url.pathname}`;
    const caller = String(request.headers["user-agent"] ?? "");
    await sleep(ANSWER_MS);
    if (name === "POST /api/rows-tx") {
      const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
      this.#transact(body, caller, response);
    } else if (name === "GET /api/rows-get") {
      this.#read(url.searchParams, response);
    } else if (name === "GET /api/rows-feed") {
      await this.#feed(url.searchParams, response);
    } else if (name === "GET /api/rows-parts") {
      const table = url.searchParams.get("table");
      const parts = [...this.#rows.values()]
        .filter((row) => row.table === table)
        .map(({ part }) => part);
      send(response, 200, { parts: [...new Set(parts)].sort() });
    } else send(response, 404, {});
  }

  #transact(body, caller, response) {
    this.writes.all += 1;
    const { fate, lateMs } = this.decide({ body, caller });
    if (fate === Fate.Late) {
      this.writes.unanswered += 1;
      // A channel on which a response is lost delivers nothing further.
      setTimeout(() => this.#carryOut(body), lateMs);
      return;
    }
    if (fate === Fate.Rejected) {
      send(response, 503, {});
      return;
    }
    const { status, answer } = this.#carryOut(body);
    send(response, status, answer);
  }

  #carryOut({ expectedRev = [], writes = [], remove = [] }) {
    const all = [...expectedRev, ...writes, ...remove];
    const bytes = writes.reduce((sum, { value }) => sum + value.length, 0);
    const isTooLarge =
      all.length > MAX_ENTRIES ||
      bytes > MAX_BYTES ||
      writes.some(({ value }) => sizeOf(value) > ROW_BYTES) ||
      new Set(all.map(({ part }) => part ?? "")).size > 1;
    if (isTooLarge) return { status: 400, answer: {} };
    const current = (entry) => this.#rows.get(rowId(entry))?.schemaVersion ?? 0;
    if (expectedRev.some((one) => current(one) !== one.schemaVersion)) {
      const rows = expectedRev
        .map((one) => this.#rows.get(rowId(one)))
        .filter((row) => row !== undefined);
      return { status: 412, answer: { rows, ...this.#stamp() } };
    }
    this.#apply([
      ...writes,
      ...remove.map((entry) => ({ ...entry, value: undefined })),
    ]);
    return { status: 200, answer: this.#stamp() };
  }

  #apply(changes) {
    this.#version += 1;
    const schemaVersion = this.#version;
    for (const { table, part = "", key, value } of changes) {
      const id = rowId({ table, part, key });
      if (value === undefined) {
        if (!this.#rows.delete(id)) continue;
        this.#history.push({ table, part, key, schemaVersion, deleted: true });
      } else {
        const row = { table, part, key, value, schemaVersion };
        this.#rows.set(id, row);
        this.#history.push(row);
      }
    }
    for (const wake of [...this.#waiting]) wake();
  }

  #read(query, response) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const target = query.get("target");
    const limit = Math.min(MAX_ROWS, Number(query.get("limit")) || MAX_ROWS);
    const found = [...this.#rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          row.key >= from &&
          (target === null || row.key < target),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = found.slice(0, limit);
    const hasMore = found.length > rows.length;
    send(response, 200, { rows, hasMore, ...this.#stamp() });
  }

  async #feed(query, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs"));
    const changes = () =>
      this.#history.filter(
        (row) => row.table === table && row.schemaVersion > after,
      );
    let rows = changes();
    while (rows.length === 0) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0 || response.destroyed) break;
      await this.#change(leftMs);
      rows = changes();
    }
    send(response, 200, { rows, ...this.#stamp() });
  }

  #change(limitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.#waiting.add(wake);
    });
  }

  #stamp() {
    return {
      schemaVersion: this.#version,
      nowMs: Math.round(performance.now()),
    };
  }
}

function rowId({ table, part = "", key }) {
  return `${table}\0${part}\0${key}`;
}

/** Size of a row's value, which is base64 of at most `rowBytes`. */
function sizeOf(value) {
  return Buffer.byteLength(value, "base64");
}

function encode(value) {
  if (value === undefined) return undefined;
  return Buffer.from(JSON.stringify(value), "utf8").toString("base64");
}

function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
