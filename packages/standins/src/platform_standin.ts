import type { IncomingMessage, ServerResponse } from "node:http";
import { KeyPrefix } from "@laburnumtrack/core/rows";
import type { Transaction } from "@laburnumtrack/core/table";
import type { Vm } from "@laburnumtrack/core/vm_list";
import { readText, sendJson } from "@laburnumtrack/process/http_body";
import {
  type Listener,
  listenHttp,
} from "@laburnumtrack/process/http_listener";
import { nodeRoute } from "@laburnumtrack/process/node_route";
import { H3, toNodeHandler } from "h3";
import { EventKind, History } from "./history";
import { MemoryTable } from "./memory_table";
import {
  createNoFaults,
  isCutOff,
  type PlatformFaults,
} from "./platform_faults";

/** Largest accepted request body, in bytes. */
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

interface VmSnapshot {
  readonly atMs: number;
  readonly vms: readonly Vm[];
}

interface GetBody {
  readonly keys: readonly string[];
  readonly above: number;
}

interface ScanBody {
  readonly prefix: string;
  readonly above: number;
}

/** Stand-in for the platform: table, object store and list of VMs. */
export class PlatformStandin {
  readonly table = new MemoryTable();
  readonly history = new History();
  readonly faults: PlatformFaults = createNoFaults();
  readonly #objects = new Map<string, string>();
  readonly #vmSnapshots: VmSnapshot[] = [{ atMs: 0, vms: [] }];

  constructor() {
    this.table.onCommit = (transaction) => this.#record(transaction);
  }

  /** Sets the VMs; readers see them after `faults.vmLagMs`. */
  setVms(vms: readonly Vm[]): void {
    this.#vmSnapshots.push({ atMs: Date.now(), vms });
  }

  /** The current VMs, without the lag. */
  get vms(): readonly Vm[] {
    return this.#vmSnapshots.at(-1)?.vms ?? [];
  }

  /** Serves the table, the object store and the list of VMs over HTTP. */
  async listen(address: string): Promise<Listener> {
    const app = new H3();
    app.post(
      "/table/get",
      this.#route((body) => this.#get(body)),
    );
    app.post(
      "/table/scan",
      this.#route((body) => this.#scan(body)),
    );
    app.post(
      "/table/commit",
      nodeRoute((request, response) => this.#commit(request, response)),
    );
    app.put(
      "/objects/**",
      nodeRoute((request, response) => this.#putObject(request, response)),
    );
    app.get(
      "/objects/**",
      nodeRoute((request, response) => this.#getObject(request, response)),
    );
    app.get(
      "/vms",
      nodeRoute((request, response) => this.#listVms(request, response)),
    );
    return await listenHttp(address, toNodeHandler(app));
  }

  #route(answer: (body: string) => unknown) {
    return nodeRoute(async (request, response) => {
      const body = await readText(request, BODY_LIMIT_BYTES);
      if (!(await this.#admitRequest(request, response))) return;
      sendJson(response, 200, answer(body ?? "{}"));
    });
  }

  #get(body: string): unknown {
    const { keys, above } = JSON.parse(body) as GetBody;
    return this.table.readNow(keys, { above });
  }

  #scan(body: string): unknown {
    const { prefix, above } = JSON.parse(body) as ScanBody;
    return this.table.scanNow(prefix, { above });
  }

  async #commit(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request, BODY_LIMIT_BYTES);
    if (!(await this.#admitRequest(request, response))) return;
    const transaction = JSON.parse(body ?? "{}") as Transaction;
    const result = this.table.commitNow(transaction);
    if (Math.random() < this.faults.lostAnswers) {
      response.destroy();
      return;
    }
    if (result.ok) sendJson(response, 200, result.val);
    else sendJson(response, 409, { key: result.val.detail });
  }

  async #putObject(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request, BODY_LIMIT_BYTES);
    if (!(await this.#admitRequest(request, response))) return;
    this.#objects.set(request.url ?? "", body ?? "");
    sendJson(response, 200, {});
  }

  async #getObject(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!(await this.#admitRequest(request, response))) return;
    const object = this.#objects.get(request.url ?? "");
    response.writeHead(object === undefined ? 404 : 200);
    response.end(object ?? "");
  }

  async #listVms(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!(await this.#admitRequest(request, response))) return;
    const asOf = Date.now() - this.faults.vmLagMs;
    const snapshot = this.#vmSnapshots.findLast(({ atMs }) => atMs <= asOf);
    const etag = `"${snapshot?.atMs ?? 0}"`;
    if (request.headers["if-none-match"] === etag) {
      response.writeHead(304).end();
      return;
    }
    response.setHeader("etag", etag);
    sendJson(response, 200, snapshot?.vms ?? []);
  }

  /**
   * Applies the injected faults; false if the request was answered with 503 or
   * its connection was closed.
   */
  async #admitRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    const { delayMs, isDown, cutOff } = this.faults;
    if (isCutOff(cutOff, request.headers["user-agent"])) {
      response.destroy();
      return false;
    }
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    if (isDown) response.writeHead(503).end();
    return !isDown;
  }

  #record({ writes }: Transaction): void {
    for (const { key, value } of writes) {
      const kind = eventKindOf(key);
      if (kind === undefined) continue;
      const detail = value ?? "";
      this.history.add({ kind, place: key, subject: "", epoch: 0, detail });
    }
  }
}

/** Event kind of a write to a row; undefined for rows that are not recorded. */
export function eventKindOf(key: string): EventKind | undefined {
  if (key.startsWith(KeyPrefix.Worker)) return EventKind.WorkerRow;
  if (key.startsWith(KeyPrefix.Task)) return EventKind.TaskRow;
  return key === KeyPrefix.Head ? EventKind.Head : undefined;
}
