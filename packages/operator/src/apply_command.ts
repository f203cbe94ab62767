import { randomUUID } from "node:crypto";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Change } from "@laburnumtrack/fileset/file_set_diff";
import {
  describeError,
  type FileError,
} from "@laburnumtrack/fileset/ini_sections";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import type { SystemStatus } from "@laburnumtrack/scheduler/status";
import { Err, Ok, type Result } from "ts-results";
import type { AdminClient, AdminResponse } from "./admin_client";
import { type Command, print, printError } from "./command";
import { describeChanges } from "./diff_command";
import { loadFiles } from "./source_files";
import { readBody } from "./state_commands";

/** With `--wait`, how long members may take to adopt the version. */
const WAIT_LIMIT_MS = 30_000;
const WAIT_POLL_MS = 200;

/** `apply`: sends the files to a scheduler as the next configuration version. */
export async function applyCommand(command: Command): Promise<ExitStatus> {
  const loaded = loadFiles(command.args);
  if (loaded.err) {
    printError(loaded.val);
    return ExitStatus.Usage;
  }
  const client = command.client();
  if (client.err) {
    printError(client.val);
    return ExitStatus.Usage;
  }
  const base = await resolveBase(command, client.val);
  if (base.err) {
    printError(base.val);
    return base.val.code === FaultCode.Usage
      ? ExitStatus.Usage
      : ExitStatus.Failure;
  }
  const applyId = command.options["apply-id"] ?? randomUUID();
  const response = await client.val.post("/apply", {
    applyId,
    base: base.val,
    files: loaded.val.sources,
  });
  if (response.err || response.val.status !== 200) {
    printFailure(response, { applyId, base: base.val });
    return ExitStatus.Failure;
  }
  const { version } = response.val.body as { version: number };
  print(`applied: version ${version}`);
  if (!command.options.wait) return ExitStatus.Ok;
  return await waitUntilInForce(client.val, version);
}

/** Returns the version that the files are based on. */
async function resolveBase(
  { options }: Command,
  client: AdminClient,
): Promise<Result<number, Fault>> {
  if (options.base !== undefined) {
    const base = Number(options.base);
    if (Number.isInteger(base) && base >= 0) return Ok(base);
    return Err(
      new Fault(
        FaultCode.Usage,
        "--base must be a version number, 0 or higher",
      ),
    );
  }
  const response = readBody(await client.get("/files"));
  if (response.err) return response;
  return Ok((response.val as { version: number }).version);
}

function printFailure(
  response: Result<AdminResponse, Fault>,
  { applyId, base }: { readonly applyId: string; readonly base: number },
): void {
  const repeatOptions = `--apply-id ${applyId} --base ${base}`;
  if (response.err) {
    printError(response.val);
    if (response.val.code === FaultCode.OutcomeUnknown) {
      process.stderr.write(
        `the files may have been applied; to repeat the command safely, add ${repeatOptions}\n`,
      );
    }
    return;
  }
  const { title, outcome, details } = response.val.body as {
    title?: string;
    outcome?: string;
    details?: { errors?: FileError[]; changes?: Change[] };
  };
  process.stderr.write(`laburnumtrack: ${title ?? "the apply failed"}\n`);
  if (outcome === "outcome unknown") {
    process.stderr.write(
      `the files may have been applied; to repeat the command safely, add ${repeatOptions}\n`,
    );
  }
  for (const error of details?.errors ?? []) {
    process.stderr.write(`${describeError(error)}\n`);
  }
  const changes = details?.changes ?? [];
  if (changes.length === 0) return;
  process.stderr.write("changes from your files to the version in force:\n");
  for (const line of describeChanges(changes)) {
    process.stderr.write(`${line}\n`);
  }
}

/** Polls until all live members run the version, or the time limit passes. */
async function waitUntilInForce(
  client: AdminClient,
  version: number,
): Promise<ExitStatus> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  while (Date.now() < endMs) {
    const response = readBody(await client.get("/status"));
    if (response.ok) {
      const { members } = response.val as SystemStatus;
      const live = members.filter(({ phase }) => phase === "live");
      if (live.every(({ configVersion }) => configVersion >= version)) {
        print(`in force on ${live.length} members`);
        return ExitStatus.Ok;
      }
    }
    await new Promise((resolve) => setTimeout(resolve, WAIT_POLL_MS));
  }
  printError(
    new Fault(
      FaultCode.DeadlineExceeded,
      "the version was applied but is not yet in force on every live member",
    ),
  );
  return ExitStatus.Failure;
}
