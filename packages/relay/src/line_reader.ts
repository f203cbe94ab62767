import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";

/** Longest line that is accepted, in UTF-16 code units. */
const MAX_LINE_LENGTH = 4 * 1024 * 1024;

/** Splits a byte stream into lines of UTF-8 text. */
export class LineReader {
  readonly #decoder = new TextDecoder();
  #partial = "";

  /** Lines that a chunk completes. Fault: `TooLarge`. */
  push(chunk: Uint8Array): Result<string[], Fault> {
    const text = this.#decoder.decode(chunk, { stream: true });
    const lines = (this.#partial + text).split("\n");
    this.#partial = lines.pop() ?? "";
    if (this.#partial.length > MAX_LINE_LENGTH) {
      return Err(new Fault(FaultCode.TooLarge, "line"));
    }
    return Ok(lines);
  }
}
