import type { Fault } from "@laburnumtrack/core/fault";
import type { Result } from "ts-results";
import type { AdminClient } from "./admin_client";

/** Options of the command line. */
export interface OperatorOptions {
  readonly scheduler?: string | undefined;
  readonly "token-file"?: string | undefined;
  readonly base?: string | undefined;
  readonly "apply-id"?: string | undefined;
  readonly wait?: boolean | undefined;
  readonly json?: boolean | undefined;
  readonly help?: boolean | undefined;
  readonly version?: boolean | undefined;
}

/** Arguments and options of a command. */
export interface Command {
  readonly args: readonly string[];
  readonly options: OperatorOptions;
  /** Creates the client for the schedulers that the options name. */
  readonly client: () => Result<AdminClient, Fault>;
}

/** Writes a line to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes an error message to standard error. */
export function printError(fault: Fault): void {
  process.stderr.write(`laburnumtrack: ${fault.message}\n`);
}
