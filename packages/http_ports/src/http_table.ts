import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type Commit,
  type ReadOptions,
  type Row,
  Table,
  type Transaction,
} from "@laburnumtrack/core/table";
import { Err, Ok, type Result } from "ts-results";
import { decodeJson, type JsonClient } from "./json_client";

/** Calls and rows that this process asked of the table since its start. */
export interface TableLoad {
  reads: number;
  rowsRead: number;
  commits: number;
  rowsWritten: number;
}

/** Client of the platform's table over HTTP. */
export class HttpTable extends Table {
  readonly load: TableLoad = {
    reads: 0,
    rowsRead: 0,
    commits: 0,
    rowsWritten: 0,
  };
  readonly #client: JsonClient;
  readonly #url: string;

  constructor(client: JsonClient, url: string) {
    super();
    this.#client = client;
    this.#url = url;
  }

  override async get(
    keys: readonly string[],
    { above = 0 }: ReadOptions = {},
  ): Promise<Result<Row[], Fault>> {
    return await this.#read("/table/get", { keys, above });
  }

  override async scan(
    prefix: string,
    { above = 0 }: ReadOptions = {},
  ): Promise<Result<Row[], Fault>> {
    return await this.#read("/table/scan", { prefix, above });
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    this.load.commits += 1;
    this.load.rowsWritten += transaction.writes.length;
    const answer = await this.#client.call({
      method: "POST",
      url: `${this.#url}/table/commit`,
      body: transaction,
    });
    if (answer.err) return answer;
    const { status, text } = answer.val;
    if (status === 200) return decodeJson<Commit>(text);
    if (status === 409) return Err(new Fault(FaultCode.Conflict, text));
    if (status === 503) return Err(new Fault(FaultCode.StoreUnavailable));
    return Err(new Fault(FaultCode.OutcomeUnknown, `status ${status}`));
  }

  async #read(path: string, body: unknown): Promise<Result<Row[], Fault>> {
    this.load.reads += 1;
    const url = `${this.#url}${path}`;
    const answer = await this.#client.call({
      method: "POST",
      url,
      body,
      isOpenEnded: true,
    });
    if (answer.err || answer.val.status !== 200) {
      return Err(new Fault(FaultCode.StoreUnavailable, url));
    }
    const rows = decodeJson<Row[]>(answer.val.text);
    if (rows.ok) this.load.rowsRead += rows.val.length;
    return rows.ok ? Ok(rows.val) : rows;
  }
}
