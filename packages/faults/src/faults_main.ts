import { runFaults } from "./faults";

void runFaults(process.argv.slice(2)).then((status) => {
  process.exit(status);
});
