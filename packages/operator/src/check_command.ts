import { ExitStatus } from "@laburnumtrack/process/exit_status";
import { type Command, print, printError } from "./command";
import { loadFiles } from "./source_files";

/** `check`: validates the files without contacting a scheduler. */
export async function checkCommand({ args }: Command): Promise<ExitStatus> {
  const loaded = loadFiles(args);
  if (loaded.err) {
    printError(loaded.val);
    return ExitStatus.Usage;
  }
  const { services, jobs, teams } = loaded.val.fileSet;
  print(
    `valid: ${services.size} services, ${jobs.size} jobs, ${teams.size} teams`,
  );
  return ExitStatus.Ok;
}
