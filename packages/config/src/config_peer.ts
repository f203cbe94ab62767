import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { JsonClient } from "@laburnumtrack/http_ports/json_client";
import { Err, type Result } from "ts-results";
import { type ConfigMessage, parseConfigMessage } from "./config_message";

/** Asks other processes for the configuration that they have in use. */
export abstract class ConfigPeer {
  /**
   * Asks the process at `host:port`; the text is included if the version is
   * above `aboveVersion`. Fails when there is no valid answer.
   */
  abstract ask(
    address: string,
    aboveVersion: number,
  ): Promise<Result<ConfigMessage, Fault>>;
}

/** Path at which a process answers, with the parameter `above`. */
export const CONFIG_PATH = "/config";
/** Time until an answer begins, in ms. */
const ANSWER_TIMEOUT_MS = 600;

/** Asks over HTTP. */
export class HttpConfigPeer extends ConfigPeer {
  readonly #client: JsonClient;

  constructor(client: JsonClient) {
    super();
    this.#client = client;
  }

  override async ask(
    address: string,
    aboveVersion: number,
  ): Promise<Result<ConfigMessage, Fault>> {
    const answer = await this.#client.call({
      method: "GET",
      url: `http://${address}${CONFIG_PATH}?above=${aboveVersion}`,
      timeoutMs: ANSWER_TIMEOUT_MS,
      isOpenEnded: true,
    });
    if (answer.err) return answer;
    const { status, text } = answer.val;
    if (status === 200) return parseConfigMessage(text);
    return Err(new Fault(FaultCode.PeerUnreachable, `status ${status}`));
  }
}
