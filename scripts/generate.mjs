// Regenerates packages/peers/src/gen from proto/. The result is committed.
import { execFileSync } from "node:child_process";

execFileSync("npx", ["buf", "generate", "proto"], { stdio: "inherit" });
