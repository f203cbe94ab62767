import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type SyncReply,
  type SyncRequest,
  Worker,
} from "@laburnumtrack/core/worker";
import { Err, type Result } from "ts-results";
import { decodeJson, type JsonClient } from "./json_client";

/** Client of workers over HTTP. */
export class HttpWorker extends Worker {
  readonly #client: JsonClient;

  constructor(client: JsonClient) {
    super();
    this.#client = client;
  }

  override async sync(
    address: string,
    body: SyncRequest,
  ): Promise<Result<SyncReply, Fault>> {
    const url = `http://${address}/sync`;
    const answer = await this.#client.call({ method: "POST", url, body });
    if (answer.err || answer.val.status !== 200) {
      return Err(new Fault(FaultCode.WorkerUnreachable, address));
    }
    return decodeJson<SyncReply>(answer.val.text);
  }
}
