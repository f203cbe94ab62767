import assert from "node:assert/strict";
import { test } from "node:test";
import { isHostPort } from "./host_port";

const CASES: readonly {
  readonly text: string;
  readonly isUsable: boolean;
}[] = [
  { text: "10.0.0.1:80", isUsable: true },
  { text: "10.0.0.1:1", isUsable: true },
  { text: "255.0.0.255:65535", isUsable: true },
  { text: "10.0.0.1:65536", isUsable: false },
  { text: "10.0.0.1:99999", isUsable: false },
  { text: "10.0.0.1:0", isUsable: false },
  { text: "10.0.0.1:080", isUsable: false },
  { text: "10.0.0.1:+80", isUsable: false },
  { text: "10.0.0.1:8e1", isUsable: false },
  { text: "10.0.0.1:", isUsable: false },
  { text: "10.0.0.1", isUsable: false },
  { text: "10.0.0.1:80\n", isUsable: false },
  { text: "10.0.0.1:80:80", isUsable: false },
  { text: "256.0.0.1:80", isUsable: false },
  { text: "010.0.0.1:80", isUsable: false },
  { text: "1.2:80", isUsable: false },
  { text: "4294967296:80", isUsable: false },
  { text: "....:80", isUsable: false },
  { text: ":80", isUsable: false },
  { text: "[::1]:80", isUsable: false },
  { text: "host:80", isUsable: false },
  { text: "", isUsable: false },
  { text: `${"1".repeat(1_000_000)}:80`, isUsable: false },
];

for (const { text, isUsable } of CASES) {
  test(`host and port: ${JSON.stringify(text.slice(0, 30))}`, () => {
    assert.equal(isHostPort(text), isUsable);
  });
}
