import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import type { SystemStatus } from "@laburnumtrack/scheduler/status";
import { Err, Ok, type Result } from "ts-results";
import { AdminClient, type AdminResponse } from "./admin_client";
import { type Command, print, printError } from "./command";
import { isEntryStatus, renderEntryStatus } from "./entry_status_text";
import { renderTable } from "./table_text";

/**
 * `status`: prints services, jobs, workers and members, or the evacuations that
 * an entry knows.
 */
export async function statusCommand(command: Command): Promise<ExitStatus> {
  return await printState(command, "/status", (body) =>
    isEntryStatus(body)
      ? renderEntryStatus(body)
      : renderStatus(body as SystemStatus),
  );
}

/** `explain NAME`: prints the state and history of one workload. */
export async function explainCommand(command: Command): Promise<ExitStatus> {
  const [name] = command.args;
  if (name === undefined) {
    printError(new Fault(FaultCode.Usage, "NAME is missing"));
    return ExitStatus.Usage;
  }
  const path = `/explain/${encodeURIComponent(name)}`;
  return await printState(command, path, (body) =>
    JSON.stringify(body, null, 2),
  );
}

/** `dump ADDRESS`: prints the state of one process. */
export async function dumpCommand(command: Command): Promise<ExitStatus> {
  const [address] = command.args;
  if (address === undefined) {
    printError(new Fault(FaultCode.Usage, "ADDRESS is missing"));
    return ExitStatus.Usage;
  }
  const client = () =>
    AdminClient.create([address], command.options["token-file"]);
  return await printState({ ...command, client }, "/dump", (body) =>
    JSON.stringify(body, null, 2),
  );
}

/** Returns the body of a response with status 200; a fault otherwise. */
export function readBody(
  response: Result<AdminResponse, Fault>,
): Result<unknown, Fault> {
  if (response.err) return response;
  const { status, body } = response.val;
  if (status === 200) return Ok(body);
  const { title = `status ${status}` } = body as { title?: string };
  const code =
    status === 401
      ? FaultCode.Unauthorized
      : status === 404
        ? FaultCode.NotFound
        : FaultCode.PeerUnreachable;
  return Err(new Fault(code, title));
}

/** Gets a path and prints the body, rendered or with `--json` as it is. */
async function printState(
  command: Command,
  path: string,
  render: (body: unknown) => string,
): Promise<ExitStatus> {
  const client = command.client();
  if (client.err) {
    printError(client.val);
    return ExitStatus.Usage;
  }
  const response = readBody(await client.val.get(path));
  if (response.err) {
    printError(response.val);
    return ExitStatus.Failure;
  }
  const { json } = command.options;
  print(json ? JSON.stringify(response.val) : render(response.val));
  return ExitStatus.Ok;
}

function renderStatus(status: SystemStatus): string {
  const parts = [`version ${status.version}`];
  const addTable = (title: string, header: string[], rows: string[][]) => {
    if (rows.length > 0) parts.push("", title, renderTable(header, rows));
  };
  addTable(
    "SERVICES",
    ["name", "running", "replicas", "waits because"],
    status.services.map((service) => [
      service.name,
      String(service.running),
      String(service.replicas),
      service.reason ?? "",
    ]),
  );
  addTable(
    "JOBS",
    ["name", "state", "done", "running", "waiting", "failed", "because"],
    status.jobs.map((job) => [
      job.name,
      job.state,
      `${job.done}/${job.tasks}`,
      String(job.running),
      String(job.waiting),
      String(job.failed),
      job.reason ?? "",
    ]),
  );
  addTable(
    "WORKERS",
    ["id", "phase", "domain", "rack", "tasks", "free cores", "free MB"],
    status.workers.map((worker) => [
      worker.id,
      worker.phase,
      worker.failureDomain,
      worker.rack,
      String(worker.tasks),
      String(worker.free.cpuMilli / 1000),
      String(worker.free.memoryMb),
    ]),
  );
  addTable(
    "MEMBERS",
    ["name", "role", "phase", "domain", "version in force"],
    status.members.map((member) => [
      member.name,
      member.role,
      member.phase,
      member.failureDomain,
      String(member.configVersion),
    ]),
  );
  return parts.join("\n");
}
