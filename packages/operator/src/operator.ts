import { parseArgs } from "node:util";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { ExitStatus } from "@laburnumtrack/process/exit_status";
import { VERSION } from "@laburnumtrack/process/version";
import { Err, Ok, type Result } from "ts-results";
import { AdminClient } from "./admin_client";
import { applyCommand } from "./apply_command";
import { checkCommand } from "./check_command";
import { type OperatorOptions, print, printError } from "./command";
import { diffCommand } from "./diff_command";
import { dumpCommand, explainCommand, statusCommand } from "./state_commands";

const USAGE = `laburnumtrack: applies operators' files and shows the system's state

  laburnumtrack check PATH...     validate files and list all errors
  laburnumtrack diff PATH...      show what applying the files would change
  laburnumtrack apply PATH...     apply the files as a new version
  laburnumtrack status            show services, jobs, workers, members, refusals
                                  or, asked at an entry, its evacuations
  laburnumtrack explain NAME      show why a workload waits and where it ran
  laburnumtrack dump ADDRESS      show the state of one process

  PATH is an INI file, or a directory whose *.ini files are read.

  --scheduler ADDRESSES  admin addresses of schedulers or, for status and dump,
                         of entries, separated by commas;
                         the first reachable one is used
                         [default: LABURNUMTRACK_SCHEDULER]
  --token-file FILE      file with the operator token
                         [default: the token in LABURNUMTRACK_TOKEN]
  --base N               version that the files are based on (apply)
                         [default: the version in force]
  --apply-id ID          repeat an apply whose response was lost
  --wait                 wait until the version is in force everywhere
  --json                 print JSON
  --help, --version

  Exit status: 0 success, 1 failure, 2 invalid command line or files.`;

const COMMANDS = new Map([
  ["check", checkCommand],
  ["diff", diffCommand],
  ["apply", applyCommand],
  ["status", statusCommand],
  ["explain", explainCommand],
  ["dump", dumpCommand],
]);

/** Runs the program `laburnumtrack` and returns its exit status. */
export async function runOperator(
  argv: readonly string[],
): Promise<ExitStatus> {
  const parsed = readCommandLine(argv);
  if (parsed.err) {
    printError(parsed.val);
    return ExitStatus.Usage;
  }
  const { options, positionals } = parsed.val;
  if (options.help) {
    print(USAGE);
    return ExitStatus.Ok;
  }
  if (options.version) {
    print(`laburnumtrack ${VERSION}`);
    return ExitStatus.Ok;
  }
  const [name = "", ...args] = positionals;
  const run = COMMANDS.get(name);
  if (run === undefined) {
    printError(new Fault(FaultCode.Usage, name));
    return ExitStatus.Usage;
  }
  const client = () => createClient(options);
  return await run({ args, options, client });
}

function readCommandLine(argv: readonly string[]) {
  try {
    const { values, positionals } = parseArgs({
      args: [...argv],
      allowPositionals: true,
      options: {
        scheduler: { type: "string" },
        "token-file": { type: "string" },
        base: { type: "string" },
        "apply-id": { type: "string" },
        wait: { type: "boolean" },
        json: { type: "boolean" },
        help: { type: "boolean" },
        version: { type: "boolean" },
      },
    });
    const options: OperatorOptions = values;
    return Ok({ options, positionals });
  } catch (error) {
    return Err(new Fault(FaultCode.Usage, (error as Error).message));
  }
}

function createClient(options: OperatorOptions): Result<AdminClient, Fault> {
  const text = options.scheduler ?? process.env.LABURNUMTRACK_SCHEDULER ?? "";
  const addresses = text.split(",").filter((address) => address !== "");
  return AdminClient.create(addresses, options["token-file"]);
}
