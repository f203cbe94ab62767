import { runOperator } from "./operator";

void runOperator(process.argv.slice(2)).then((status) => {
  process.exitCode = status;
});
