import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { ObjectStore } from "@laburnumtrack/core/object_store";
import { Err, Ok, type Result } from "ts-results";
import type { JsonClient } from "./json_client";

/** Client of the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #client: JsonClient;
  readonly #url: string;

  constructor(client: JsonClient, url: string) {
    super();
    this.#client = client;
    this.#url = url;
  }

  override async put(key: string, text: string): Promise<Result<void, Fault>> {
    const url = `${this.#url}/objects/${key}`;
    const answer = await this.#client.call({ method: "PUT", url, body: text });
    if (answer.err) return answer;
    if (answer.val.status === 200) return Ok(undefined);
    return Err(new Fault(FaultCode.StoreUnavailable, url));
  }

  override async get(key: string): Promise<Result<string, Fault>> {
    const url = `${this.#url}/objects/${key}`;
    const answer = await this.#client.call({
      method: "GET",
      url,
      isOpenEnded: true,
    });
    if (answer.err) return Err(new Fault(FaultCode.StoreUnavailable, url));
    const { status, text } = answer.val;
    if (status === 200) return Ok(text);
    if (status === 404) return Err(new Fault(FaultCode.NotFound, key));
    return Err(new Fault(FaultCode.StoreUnavailable, url));
  }
}
