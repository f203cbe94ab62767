import { gunzipSync, gzipSync } from "node:zlib";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type {
  EvacuationRequest,
  SharedEvacuations,
} from "@laburnumtrack/evacuation/domain_evacuations";
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
  /** Undefined if the process follows none, or those it sent are unreadable. */
  readonly evacuations?: EvacuationMessage | undefined;
}

/** The evacuations that a process knows. */
export interface EvacuationMessage extends SharedEvacuations {
  /**
   * Time in ms for which newer requests may have been stored; undefined if
   * unknown.
   */
  readonly ageMs: number | undefined;
}

/** Body of a message. */
interface WireMessage {
  readonly version: number;
  readonly ageMs?: number | undefined;
  /** Base64 of the compressed text. */
  readonly gzip?: string | undefined;
  readonly evacuations?: WireEvacuations | undefined;
}

interface WireEvacuations {
  readonly revision: number;
  readonly ageMs?: number | undefined;
  /** Failure domain and revision of each request. */
  readonly requests: readonly (readonly [string, number])[];
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
  evacuations,
}: {
  readonly version: number;
  readonly ageMs: number;
  readonly gzip: string | undefined;
  readonly evacuations?: EvacuationMessage | undefined;
}): string {
  const body: WireMessage = {
    version,
    ageMs: finite(ageMs),
    gzip,
    evacuations: evacuations && {
      revision: evacuations.revision,
      ageMs: finite(evacuations.ageMs),
      requests: evacuations.requests.map(
        ({ domain, revision }) => [domain, revision] as const,
      ),
    },
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
  const evacuations = readEvacuations(message.val?.evacuations);
  const known = { version, ageMs, evacuations };
  if (gzip === undefined) return Ok({ ...known, text: undefined });
  return decompress(gzip).map((text) => ({ ...known, text }));
}

/** Rounded up, or undefined for infinity, which JSON cannot express. */
function finite(ms: number | undefined): number | undefined {
  return Number.isFinite(ms) ? Math.ceil(ms ?? 0) : undefined;
}

/** Reads evacuations; the configuration holds also if they are unreadable. */
function readEvacuations(
  evacuations: Partial<WireEvacuations> | null | undefined,
): EvacuationMessage | undefined {
  const { revision, ageMs, requests } = evacuations ?? {};
  const isValid =
    isRevision(revision) &&
    (ageMs === undefined || (Number.isFinite(ageMs) && ageMs >= 0)) &&
    Array.isArray(requests);
  if (!isValid) return undefined;
  const read: EvacuationRequest[] = [];
  for (const request of requests as readonly unknown[]) {
    if (!Array.isArray(request)) return undefined;
    const [domain, rowRevision] = request as unknown[];
    if (typeof domain !== "string" || !isRevision(rowRevision)) {
      return undefined;
    }
    read.push({ domain, revision: rowRevision });
  }
  return { revision, ageMs, requests: read };
}

function isRevision(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
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
