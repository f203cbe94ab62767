import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  decodeJson,
  type JsonClient,
} from "@laburnumtrack/http_ports/json_client";
import type { Job } from "@laburnumtrack/jobs/job";
import { Err, Ok, type Result } from "ts-results";

/** Paths at which an entry carries out calls for other entries. */
export enum ForwardPath {
  Submit = "/jobs/submit",
  Cancel = "/jobs/cancel",
  Phase = "/jobs/phase",
}

/** A call that an entry has another one carry out for its caller. */
export type ForwardedCall =
  | {
      readonly path: ForwardPath.Submit;
      readonly job: Job;
      /** Identifies the submission, which may use several entries. */
      readonly submission: string;
      /** Whether an earlier call may have stored the job. */
      readonly mayBeStored: boolean;
    }
  | {
      readonly path: ForwardPath.Cancel | ForwardPath.Phase;
      readonly id: string;
    };

/** Body of a request to another entry. */
export type ForwardRequest = ForwardedCall & {
  /** Time that is left for the answer, in ms. */
  readonly timeoutMs: number;
};

/** What the other entry's desk returned: a value or a fault. */
export interface ForwardAnswer {
  readonly value?: string | undefined;
  readonly fault?: { readonly code: FaultCode; readonly detail: string };
}

/** Has other entries carry out calls. */
export abstract class DeskPeer {
  /**
   * Sends a call to the entry at `host:port`. `PeerUnreachable` means that the
   * call was not carried out and will not be, `AnswerLost` that it may be; other
   * faults are those of the other entry's desk.
   */
  abstract call(
    address: string,
    call: ForwardedCall,
    timeoutMs: number,
  ): Promise<Result<string, Fault>>;
}

/** Part of the time left that is reserved for the way to the peer and back, in ms. */
const TRANSFER_MARGIN_MS = 60;
/** Fault codes that a peer's answer may have. */
const CODES = new Set<unknown>(Object.values(FaultCode));

/** Calls over HTTP. */
export class HttpDeskPeer extends DeskPeer {
  readonly #client: JsonClient;

  constructor(client: JsonClient) {
    super();
    this.#client = client;
  }

  override async call(
    address: string,
    call: ForwardedCall,
    timeoutMs: number,
  ): Promise<Result<string, Fault>> {
    const request: ForwardRequest = {
      ...call,
      timeoutMs: timeoutMs - TRANSFER_MARGIN_MS,
    };
    const answer = await this.#client.call({
      method: "POST",
      url: `http://${address}${call.path}`,
      body: request,
      timeoutMs,
    });
    if (answer.err) {
      const isUnsent = answer.val.code === FaultCode.StoreUnavailable;
      const code = isUnsent ? FaultCode.PeerUnreachable : FaultCode.AnswerLost;
      return Err(new Fault(code, answer.val.detail));
    }
    const { status, text } = answer.val;
    if (status === 200) return readAnswer(text);
    // The other entry refuses calls before it carries them out.
    return Err(new Fault(FaultCode.PeerUnreachable, `status ${status}`));
  }
}

/** Reads what the other entry's desk returned; `AnswerLost` if that is unclear. */
function readAnswer(text: string): Result<string, Fault> {
  const answer = decodeJson<ForwardAnswer | null>(text).unwrapOr(null);
  const { value, fault } = answer ?? {};
  if (typeof value === "string") return Ok(value);
  const detail = text.slice(0, 80);
  return CODES.has(fault?.code)
    ? Err(new Fault(fault?.code as FaultCode, `${fault?.detail}`))
    : Err(new Fault(FaultCode.AnswerLost, detail));
}
