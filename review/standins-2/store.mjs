// Stand-in of the platform's store: rows in tables, with transactions, range
// reads and a change feed over HTTP.
import http from "node:http";

const ANSWER_MS = 4;
const TRANSACTION_MS = 8;
const RETENTION_MS = 20_000;
const MAX_ROWS = 500;
const MAX_ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;

export class Store {
  #rows = new Map();
  #version = 0;
  /** Changes of the retention period, oldest first. */
  #changes = [];
  /** Version up to which changes were discarded. */
  #discarded = 0;
  #waiting = new Set();
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  /** Called with each request; returns true if it has dealt with it. */
  intercept = () => false;

  async listen(address) {
    const [host, port] = address.split(":");
    await new Promise((resolve) => {
      this.#server.listen(Number(port), host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    this.#version += 1;
    this.#write({ table, part: "", key }, encode(JSON.stringify(value)));
    this.#notify();
  }

  remove(table, key) {
    this.#version += 1;
    this.#write({ table, part: "", key }, undefined);
    this.#notify();
  }

  /** The value of a row as JSON; undefined if there is none. */
  read(table, part, key) {
    const row = this.#rows.get(idOf({ table, part, key }));
    return row && JSON.parse(Buffer.from(row.value, "base64").toString());
  }

  #write(place, value) {
    const { table, part = "", key } = place;
    const row = { table, part, key, value, schemaVersion: this.#version };
    if (value === undefined) this.#rows.delete(idOf(place));
    else this.#rows.set(idOf(place), row);
    this.#changes.push({ row, atMs: performance.now() });
    const oldestMs = performance.now() - RETENTION_MS;
    while (this.#changes[0]?.atMs < oldestMs) {
      this.#discarded = this.#changes.shift().row.schemaVersion;
    }
  }

  #notify() {
    for (const wake of this.#waiting) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    if (this.intercept({ request, response, url, text })) return;
    const query = Object.fromEntries(url.searchParams);
    switch (url.pathname) {
      case "/api/rows-tx":
        await sleep(TRANSACTION_MS);
        this.#send(response, ...this.commit(JSON.parse(text)));
        break;
      case "/api/rows-get":
        await sleep(ANSWER_MS);
        this.#send(response, 200, this.#range(query));
        break;
      case "/api/rows-feed":
        await this.#feed(response, query);
        break;
      default:
        this.#send(response, 404, {});
    }
  }

  /** Carries out a transaction; returns the status and the body. */
  commit({ expectedRev = [], writes = [], remove = [] }) {
    const count = expectedRev.length + writes.length + remove.length;
    if (count > MAX_ENTRIES) return [400, {}];
    const changed = [...writes, ...remove];
    const parts = new Set([...expectedRev, ...changed].map(partOf));
    if (parts.size > 1) return [400, {}];
    if (changed.some(({ table }) => table === "op" || table === "servers")) {
      return [403, {}];
    }
    const sizes = writes.map(({ value }) => Buffer.from(value, "base64"));
    if (sizes.some(({ length }) => length > MAX_ROW_BYTES)) return [413, {}];
    const holds = expectedRev.every((row) => {
      const { schemaVersion = 0 } = this.#rows.get(idOf(row)) ?? {};
      return schemaVersion === row.schemaVersion;
    });
    if (!holds) {
      const found = expectedRev.map((row) => this.#rows.get(idOf(row)));
      return [412, { rows: found.filter(Boolean), ...this.#stamp() }];
    }
    this.#version += 1;
    for (const row of writes) this.#write(row, row.value);
    for (const row of remove) this.#write(row, undefined);
    this.#notify();
    return [200, this.#stamp()];
  }

  #range({ table, part = "", from = "", target, limit = MAX_ROWS }) {
    const rows = [...this.#rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          compareBytes(row.key, from) >= 0 &&
          (target === undefined || compareBytes(row.key, target) < 0),
      )
      .sort((a, b) => compareBytes(a.key, b.key));
    const most = Math.min(Number(limit), MAX_ROWS);
    const hasMore = rows.length > most;
    return { rows: rows.slice(0, most), hasMore, ...this.#stamp() };
  }

  async #feed(response, { table, after, waitMs }) {
    const untilMs = performance.now() + Math.min(30_000, Number(waitMs));
    for (;;) {
      if (Number(after) < this.#discarded) {
        this.#send(response, 410, {});
        return;
      }
      const rows = this.#changes
        .map(({ row }) => row)
        .filter((row) => row.table === table && row.schemaVersion > after)
        .map((row) => (row.value === undefined ? toDeleted(row) : row));
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        this.#send(response, 200, { rows, ...this.#stamp() });
        return;
      }
      await this.#change(leftMs);
    }
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

  #send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
  }
}

function toDeleted({ table, part, key, schemaVersion }) {
  return { table, part, key, schemaVersion, deleted: true };
}

function idOf({ table, part = "", key }) {
  return `${table}\0${part}\0${key}`;
}

function partOf({ part = "" }) {
  return part;
}

function encode(text) {
  return Buffer.from(text).toString("base64");
}

function compareBytes(a, b) {
  return Buffer.compare(Buffer.from(a), Buffer.from(b));
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
