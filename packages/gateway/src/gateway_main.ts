import { runProgram } from "@laburnumtrack/process/program";
import { runGateway } from "./wire_gateway";

void runProgram({
  name: "gateway",
  summary: "serves callers and passes their requests to endpoints",
  run: runGateway,
});
