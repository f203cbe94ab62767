// First module that a long-running program executes. By default, a signal ends
// the process, so these handlers stand in until the program is loaded.
import { ExitStatus } from "./exit_status";

// Nothing is in progress yet. The program replaces this handler by its graceful
// shutdown.
process.on("SIGTERM", () => process.exit(ExitStatus.Ok));
process.on("SIGHUP", () => {
  // Nothing to reload: the settings are read later.
});
