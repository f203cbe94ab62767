import { gunzipSync, gzipSync } from "node:zlib";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { decodeJson } from "@laburnumtrack/http_ports/json_client";
import { Err, Ok, type Result } from "ts-results";

/** What a process tells another of the configuration that it has in use. */
export interface ConfigMessage {
  readonly version: number;
  /**
   * Time in ms for which newer versions may have been stored; undefined if
   * unknown.
   */
  readonly ageMs: number | undefined;
  /** As stored; undefined if the version is not above the requested one. */
  readonly text: string | undefined;
}

/** Body of a message. */
interface WireMessage {
  readonly version: number;
  readonly ageMs?: number | undefined;
  /** Base64 of the compressed text. */
  readonly gzip?: string | undefined;
}

/** Largest text that is accepted. */
const MAX_TEXT_BYTES = 64 * 1024 * 1024;

/** Compresses a configuration's text for messages. */
export function compressConfig(text: string): string {
  return gzipSync(text, { level: 1 }).toString("base64");
}

/** Encodes a message; `gzip` is the result of {@linkcode compressConfig}. */
export function encodeConfigMessage({
  version,
  ageMs,
  gzip,
}: {
  readonly version: number;
  readonly ageMs: number;
  readonly gzip: string | undefined;
}): string {
  const body: WireMessage = {
    version,
    ageMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : undefined,
    gzip,
  };
  return JSON.stringify(body);
}

/** Parses a message. Fault: `Malformed`. */
export function parseConfigMessage(body: string): Result<ConfigMessage, Fault> {
  const message = decodeJson<Partial<WireMessage> | null>(body);
  if (message.err) return message;
  const { version, ageMs, gzip } = message.val ?? {};
  const isValid =
    typeof version === "number" &&
    Number.isFinite(version) &&
    (ageMs === undefined || (Number.isFinite(ageMs) && ageMs >= 0)) &&
    (gzip === undefined || typeof gzip === "string");
  if (!isValid) return Err(new Fault(FaultCode.Malformed, body.slice(0, 80)));
  if (gzip === undefined) return Ok({ version, ageMs, text: undefined });
  return decompress(gzip).map((text) => ({ version, ageMs, text }));
}

function decompress(gzip: string): Result<string, Fault> {
  try {
    const bytes = Buffer.from(gzip, "base64");
    const text = gunzipSync(bytes, { maxOutputLength: MAX_TEXT_BYTES });
    return Ok(text.toString("utf8"));
  } catch {
    return Err(new Fault(FaultCode.Malformed, "compressed configuration"));
  }
}
