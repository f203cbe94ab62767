import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { type Vm, VmList } from "@laburnumtrack/core/vm_list";
import { Err, Ok, type Result } from "ts-results";
import { decodeJson, type JsonClient } from "./json_client";

/** Client of the platform's VM list; an unchanged list is not sent again. */
export class HttpVmList extends VmList {
  readonly #client: JsonClient;
  readonly #url: string;
  #etag = "";

  constructor(client: JsonClient, url: string) {
    super();
    this.#client = client;
    this.#url = url;
  }

  override async read(): Promise<Result<Vm[] | undefined, Fault>> {
    const headers: Record<string, string> =
      this.#etag === "" ? {} : { "if-none-match": this.#etag };
    const url = `${this.#url}/vms`;
    const answer = await this.#client.call({
      method: "GET",
      url,
      headers,
      isOpenEnded: true,
    });
    if (answer.err) return Err(new Fault(FaultCode.StoreUnavailable, url));
    const { status, text, etag } = answer.val;
    if (status === 304) return Ok(undefined);
    if (status !== 200) return Err(new Fault(FaultCode.StoreUnavailable, url));
    const vms = decodeJson<Vm[]>(text);
    if (vms.ok) this.#etag = etag;
    return vms;
  }
}
