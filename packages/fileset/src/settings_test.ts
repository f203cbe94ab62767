import assert from "node:assert/strict";
import { test } from "node:test";
import { getSection, readSettings } from "./settings";

const GOOD = `
[member]
name = g1
failure_domain = north
admin_address = 10.0.0.1:7001
peer_address = 10.0.0.1:7002
operator_token = secret
[platform]
table_url = http://10.0.0.9:80
object_store_url = http://10.0.0.9:80
vm_list_url = http://10.0.0.9:80
[gateway]
caller_address = 10.0.0.1:8080
`;

const CASES = [
  { name: "valid", text: GOOD, errors: [] },
  {
    name: "an unknown key",
    text: `${GOOD}colour = red\n`,
    errors: ["gateway colour"],
  },
  { name: "an unknown section", text: `${GOOD}[x]\n`, errors: ["x "] },
  {
    name: "a section twice",
    text: `${GOOD}[gateway]\ncaller_address = 10.0.0.1:1\n`,
    errors: ["gateway "],
  },
  {
    name: "a host name instead of an IP address",
    text: GOOD.replace("10.0.0.1:8080", "localhost:8080"),
    errors: ["gateway caller_address"],
  },
  {
    name: "a port out of range",
    text: GOOD.replace("10.0.0.1:8080", "10.0.0.1:70000"),
    errors: ["gateway caller_address"],
  },
  {
    name: "an empty value that is no number",
    text: GOOD.replace("10.0.0.1:8080", ""),
    errors: ["gateway caller_address"],
  },
  {
    name: "a word instead of a number",
    text: `${GOOD}queue_limit = many\n`,
    errors: ["gateway queue_limit"],
  },
  {
    name: "values that are invalid in combination",
    text: `${GOOD}[membership]\nbeat_ms = 1000\ndead_after_ms = 1500\n`,
    errors: ["membership dead_after_ms"],
  },
  {
    name: "an empty file",
    text: "",
    errors: [
      "member name",
      "member failure_domain",
      "member admin_address",
      "member peer_address",
      "member operator_token",
      "platform table_url",
      "platform object_store_url",
      "platform vm_list_url",
      "gateway caller_address",
    ],
  },
];

for (const { name, text, errors } of CASES) {
  test(`settings: ${name}`, () => {
    const result = readSettings("gateway", { file: "s.ini", text });
    const found = result.ok
      ? []
      : result.val.map((e) => `${e.section} ${e.key}`);
    assert.deepEqual(found, errors);
  });
}

test("settings: a missing key takes its default", () => {
  const settings = readSettings("gateway", { file: "s", text: GOOD }).unwrap();
  assert.equal(getSection(settings, "membership").number("beat_ms"), 2000);
});

// Guards against an entry that does not start because a deployment has no value
// for a placeholder of the template.
test("settings: an empty number takes its default", () => {
  const text = `${GOOD}queue_limit =\n`;
  const settings = readSettings("gateway", { file: "s", text }).unwrap();
  assert.equal(getSection(settings, "gateway").number("queue_limit"), 512);
});
