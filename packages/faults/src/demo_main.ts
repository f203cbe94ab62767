import { runDemo } from "./demo";

void runDemo().then((status) => {
  process.exit(status);
});
