import { runProgram } from "@laburnumtrack/process/program";
import { runScheduler } from "./wire_scheduler";

void runProgram({
  name: "scheduler",
  summary: "places tasks, keeps leases and applies operators' files",
  run: runScheduler,
});
