// Stand-in for the platform's metadata store (PROTOCOL.md): rows,
// transactions, pages and the change feed.
import { createServer } from "node:http";

const READ_MS = 4;
const TRANSACTION_MS = 8;
const ROW_LIMIT_BYTES = 65_536;
const TRANSACTION_LIMIT_BYTES = 1_000_000;
const TRANSACTION_LIMIT_ENTRIES = 100;
const PAGE_LIMIT_ROWS = 500;
const PAGE_LIMIT_BYTES = 1_000_000;
const RETENTION_MS = 20_000;
const MAX_WAIT_MS = 30_000;

/** Rows of one table and part, with their keys in order. */
class Part {
  rows = new Map();
  #keys = [];
  #isSorted = true;

  put(key, row) {
    if (!this.rows.has(key)) {
      this.#keys.push(key);
      this.#isSorted = false;
    }
    this.rows.set(key, row);
  }

  remove(key) {
    if (this.rows.delete(key)) this.#keys = [...this.rows.keys()];
    this.#isSorted = false;
  }

  get keys() {
    if (!this.#isSorted) {
      // All keys are ASCII, so this is also the order of their bytes.
      this.#keys.sort();
      this.#isSorted = true;
    }
    return this.#keys;
  }

  /** Index of the first key that is not below `from`. */
  indexOf(from) {
    const { keys } = this;
    let low = 0;
    let high = keys.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (keys[middle] < from) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

export class Store {
  version = 0;
  /** Sizes in bytes of the rows that were refused as too large. */
  oversized = [];
  /** Whether the store answers 503 to all calls, and does nothing. */
  isDown = false;
  #parts = new Map();
  /** Changes by table, oldest first, and the version up to which they are gone. */
  #feeds = new Map();
  #waiters = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    const { port } = this.#server.address();
    return `127.0.0.1:${port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Reads a row's text; undefined if there is none. */
  read(table, key, part = "") {
    return this.#part(table, part).rows.get(key)?.text;
  }

  /** Writes rows in one transaction, as the operator and the workers do. */
  write(rows) {
    this.version += 1;
    for (const { table, part = "", key, text } of rows) {
      this.#apply({ table, part, key, text });
    }
    this.#wake();
  }

  /** Number of rows of a table, over all parts. */
  count(table) {
    let sum = 0;
    for (const [name, part] of this.#parts) {
      if (name.startsWith(`${table}\0`)) sum += part.rows.size;
    }
    return sum;
  }

  #part(table, part) {
    const name = `${table}\0${part}`;
    let found = this.#parts.get(name);
    if (found === undefined) {
      found = new Part();
      this.#parts.set(name, found);
    }
    return found;
  }

  #feed(table) {
    let feed = this.#feeds.get(table);
    if (feed === undefined) {
      feed = { changes: [], droppedVersion: 0 };
      this.#feeds.set(table, feed);
    }
    return feed;
  }

  /** Applies one write; `text` undefined removes the row. */
  #apply({ table, part, key, text }) {
    const rows = this.#part(table, part);
    if (text === undefined) rows.remove(key);
    else rows.put(key, { text, version: this.version });
    const feed = this.#feed(table);
    const atMs = performance.now();
    feed.changes.push({ part, key, text, version: this.version, atMs });
    let expired = 0;
    while (feed.changes[expired].atMs < atMs - RETENTION_MS) expired += 1;
    if (expired < 1000) return;
    feed.droppedVersion = feed.changes[expired - 1].version;
    feed.changes.splice(0, expired);
  }

  #wake() {
    for (const wake of [...this.#waiters]) wake();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isDown) {
      await sleep(READ_MS);
      send(response, 503, {});
      return;
    }
    const url = new URL(request.url, "http://store");
    const query = Object.fromEntries(url.searchParams);
    switch (`${request.method} ${url.pathname}`) {
      case "POST /api/rows-tx": {
        await sleep(TRANSACTION_MS);
        const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const { status, reply } = this.#transact(body);
        send(response, status, reply);
        return;
      }
      case "GET /api/rows-get":
        await sleep(READ_MS);
        send(response, 200, this.#readPage(query));
        return;
      case "GET /api/rows-feed":
        await this.#sendChanges(query, response);
        return;
      default:
        send(response, 400, {});
    }
  }

  #transact({ expectedRev = [], writes = [], remove = [] }) {
    const entries = [...expectedRev, ...writes, ...remove];
    const parts = new Set(entries.map(({ part = "" }) => part));
    const sizes = writes.map(({ value }) => Buffer.byteLength(value, "base64"));
    const oversized = sizes.filter((size) => size > ROW_LIMIT_BYTES);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    const isRefused =
      entries.length > TRANSACTION_LIMIT_ENTRIES ||
      parts.size > 1 ||
      total > TRANSACTION_LIMIT_BYTES ||
      oversized.length > 0;
    if (isRefused) {
      this.oversized.push(...oversized);
      return { status: 400, reply: {} };
    }
    const current = expectedRev.map(({ table, part = "", key }) => ({
      table,
      part,
      key,
      row: this.#part(table, part).rows.get(key),
    }));
    const isMet = expectedRev.every(
      ({ schemaVersion }, index) =>
        (current[index].row?.version ?? 0) === schemaVersion,
    );
    if (!isMet) {
      const rows = current
        .filter(({ row }) => row !== undefined)
        .map(({ table, part, key, row }) => toWire(table, part, key, row));
      return { status: 412, reply: this.#stamp({ rows }) };
    }
    this.version += 1;
    for (const { table, part = "", key, value } of writes) {
      const text = Buffer.from(value, "base64").toString("utf8");
      this.#apply({ table, part, key, text });
    }
    for (const { table, part = "", key } of remove) {
      this.#apply({ table, part, key, text: undefined });
    }
    this.#wake();
    return { status: 200, reply: this.#stamp({}) };
  }

  #readPage({ table, part = "", from = "", target, limit }) {
    const found = this.#part(table, part);
    const { keys } = found;
    const most = Math.min(PAGE_LIMIT_ROWS, Number(limit ?? PAGE_LIMIT_ROWS));
    const rows = [];
    let bytes = 0;
    let index = found.indexOf(from);
    for (; index < keys.length && rows.length < most; index += 1) {
      const key = keys[index];
      if (target !== undefined && key >= target) break;
      const row = found.rows.get(key);
      bytes += row.text.length;
      if (bytes > PAGE_LIMIT_BYTES && rows.length > 0) break;
      rows.push(toWire(table, part, key, row));
    }
    const isEnd =
      index >= keys.length || (target !== undefined && keys[index] >= target);
    return this.#stamp({ rows, hasMore: !isEnd });
  }

  async #sendChanges({ table, after, waitMs = "0" }, response) {
    await sleep(READ_MS);
    const untilMs =
      performance.now() + Math.min(MAX_WAIT_MS, Number(waitMs) || 0);
    for (;;) {
      const { changes, droppedVersion } = this.#feed(table);
      if (Number(after) < droppedVersion) {
        send(response, 410, {});
        return;
      }
      let start = changes.length;
      while (start > 0 && changes[start - 1].version > Number(after)) {
        start -= 1;
      }
      const leftMs = untilMs - performance.now();
      if (start < changes.length || leftMs <= 0) {
        const rows = changes
          .slice(start)
          .map(({ part, key, text, version }) =>
            toWire(table, part, key, { text, version }),
          );
        send(response, 200, this.#stamp({ rows }));
        return;
      }
      await this.#waitForChange(leftMs);
      if (response.destroyed) return;
    }
  }

  #waitForChange(limitMs) {
    return new Promise((resolve) => {
      const onWake = () => {
        clearTimeout(timer);
        this.#waiters.delete(onWake);
        resolve();
      };
      const timer = setTimeout(onWake, limitMs);
      this.#waiters.add(onWake);
    });
  }

  #stamp(body) {
    return {
      ...body,
      schemaVersion: this.version,
      nowMs: Math.floor(performance.now()),
    };
  }
}

function toWire(table, part, key, { text, version }) {
  const row = { table, part, key, schemaVersion: version };
  if (text === undefined) return { ...row, deleted: true };
  return { ...row, value: Buffer.from(text, "utf8").toString("base64") };
}

export function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
