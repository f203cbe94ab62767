import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { HttpObjectStore } from "./http_object_store";
import { HttpTable } from "./http_table";
import { HttpVmList } from "./http_vm_list";
import { JsonClient } from "./json_client";

const TIMEOUT_MS = 150;
/** The answer arrives in parts, in twice the time limit. */
const PARTS = 6;
const PART_PAUSE_MS = TIMEOUT_MS / 3;
const ANSWER = JSON.stringify(
  Array.from({ length: 200 }, (_, index) => ({
    key: `key-${index}`,
    value: "x".repeat(100),
  })),
);

const CASES: readonly {
  readonly name: string;
  readonly read: (
    client: JsonClient,
    url: string,
  ) => Promise<{ readonly ok: boolean }>;
}[] = [
  {
    name: "rows",
    read: (client, url) => new HttpTable(client, url).scan("key"),
  },
  {
    name: "an object",
    read: (client, url) => new HttpObjectStore(client, url).get("a"),
  },
  {
    name: "the list of VMs",
    read: (client, url) => new HttpVmList(client, url).read(),
  },
];

for (const { name, read } of CASES) {
  // Guards against a read that can never end within its time limit on a small
  // link, and is tried again for ever.
  test(`slow answer: ${name} may take as long as it keeps arriving`, async (t) => {
    const server = createServer((_, response) => {
      const size = Math.ceil(ANSWER.length / PARTS);
      for (let part = 0; part < PARTS; part += 1) {
        const text = ANSWER.slice(part * size, (part + 1) * size);
        const isLast = part === PARTS - 1;
        setTimeout(
          () => (isLast ? response.end(text) : response.write(text)),
          part * PART_PAUSE_MS,
        );
      }
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const options = { timeoutMs: TIMEOUT_MS, connections: 1, name: "test" };
    const client = new JsonClient(options);
    t.after(async () => {
      await client.close();
      server.close();
    });
    const answer = await read(client, `http://127.0.0.1:${port}`);
    assert.ok(answer.ok);
  });
}
