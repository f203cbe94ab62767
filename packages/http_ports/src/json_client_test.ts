import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { FaultCode } from "@laburnumtrack/core/fault";
import { JsonClient } from "./json_client";

const TIMEOUT_MS = 150;
/** Ends a test that waits for something that never comes. */
const TEST_TIMEOUT_MS = 60_000;
const RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\netag: e1\r\n\r\n{}";

interface Case {
  readonly name: string;
  /** Handles a request that the server has received. */
  readonly serve: (socket: Socket) => void;
  /**
   * Time limits of the requests sent at once over the single connection;
   * undefined is the client's, `TIMEOUT_MS`.
   */
  readonly limitsMs: readonly (number | undefined)[];
  /**
   * `TIMEOUT_MS` pass once for each element, as soon as the server has received
   * that many requests; no time passes otherwise.
   */
  readonly passAt: readonly number[];
  /** Fault of each call, in order; undefined is a response. */
  readonly expected: readonly (FaultCode | undefined)[];
  /** Paths that the server must have received in the end: the calls' numbers. */
  readonly received: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "a response is complete with status, text and etag",
    serve: (socket) => socket.write(RESPONSE),
    limitsMs: [undefined],
    passAt: [],
    expected: [undefined],
    received: ["/0"],
  },
  {
    name: "a request without a response has an unknown outcome",
    serve: () => {},
    limitsMs: [undefined],
    passAt: [1],
    expected: [FaultCode.OutcomeUnknown],
    received: ["/0"],
  },
  {
    name: "a connection that ends before the response leaves the outcome unknown",
    serve: (socket) => socket.destroy(),
    limitsMs: [undefined],
    passAt: [],
    expected: [FaultCode.OutcomeUnknown],
    received: ["/0"],
  },
  {
    name: "a response that breaks off leaves the outcome unknown",
    serve: (socket) => {
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}");
    },
    limitsMs: [undefined],
    passAt: [],
    expected: [FaultCode.OutcomeUnknown],
    received: ["/0"],
  },
  {
    name: "a request that expires in the queue is never sent",
    serve: () => {},
    limitsMs: [undefined, undefined],
    passAt: [1],
    expected: [FaultCode.OutcomeUnknown, FaultCode.StoreUnavailable],
    received: ["/0"],
  },
  {
    name: "a request sent when the one before it expires has an unknown outcome",
    serve: () => {},
    limitsMs: [undefined, 2 * TIMEOUT_MS],
    passAt: [1, 2],
    expected: [FaultCode.OutcomeUnknown, FaultCode.OutcomeUnknown],
    received: ["/0", "/1"],
  },
];

for (const { name, serve, limitsMs, passAt, expected, received } of CASES) {
  test(`JSON client: ${name}`, { timeout: TEST_TIMEOUT_MS }, async (t) => {
    // Requests made at once expire at once: with real timers, the second one
    // may be sent in between.
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const paths: string[] = [];
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        paths.push(/^POST (\S+)/.exec(String(chunk))?.[1] ?? "");
        // Whatever follows is answered, so that the last request gets through.
        if (paths.length > received.length) socket.write(RESPONSE);
        else serve(socket);
        server.emit("path");
      });
    });
    const origin = await listen(t, server);
    const client = createClient(t);
    const calls = limitsMs.map((timeoutMs, number) =>
      client.call({
        method: "POST",
        url: `${origin}/${number}`,
        body: {},
        timeoutMs,
      }),
    );
    for (const count of passAt) {
      while (paths.length < count) await once(server, "path");
      t.mock.timers.tick(TIMEOUT_MS);
    }
    const results = await Promise.all(calls);
    const faults = results.map((result) =>
      result.err ? result.val.code : undefined,
    );
    assert.deepEqual(faults, expected);
    for (const result of results) {
      if (result.err) continue;
      assert.deepEqual(result.val, {
        status: 200,
        text: "{}",
        bytes: 2,
        etag: "e1",
      });
    }
    // Whatever is sent late would arrive before a request queued behind it, or
    // while time passes.
    const last = await client.call({ method: "POST", url: `${origin}/last` });
    assert.ok(last.ok);
    t.mock.timers.tick(TIMEOUT_MS);
    t.mock.timers.reset();
    await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS));
    assert.deepEqual(paths, [...received, "/last"]);
  });
}

test("JSON client: a refused connection means that nothing was sent", async (t) => {
  const server = createServer();
  const origin = await listen(t, server);
  await new Promise((resolve) => server.close(resolve));
  const client = createClient(t);
  const result = await client.call({ method: "GET", url: `${origin}/path` });
  assert.equal(result.err && result.val.code, FaultCode.StoreUnavailable);
});

/** Pause between two parts of a response; shorter than the time limit. */
const PART_PAUSE_MS = TIMEOUT_MS / 3;
/** Parts of a response, which take twice the time limit to arrive. */
const PARTS = 6;

const ARRIVAL_CASES: readonly {
  readonly name: string;
  readonly isOpenEnded: boolean;
  readonly partBytes: number;
  /** Parts that the server sends. */
  readonly sentParts: number;
  readonly fault: FaultCode | undefined;
  readonly maxBytes?: number;
}[] = [
  {
    name: "one that exceeds the size limit is given up at once",
    isOpenEnded: true,
    partBytes: 2048,
    sentParts: 1,
    fault: FaultCode.TooLarge,
    maxBytes: 2048,
  },
  {
    name: "one that keeps arriving is received whole",
    isOpenEnded: true,
    partBytes: 2048,
    sentParts: PARTS,
    fault: undefined,
  },
  {
    name: "one that stops arriving fails",
    isOpenEnded: true,
    partBytes: 2048,
    sentParts: 2,
    fault: FaultCode.OutcomeUnknown,
  },
  {
    name: "one that trickles fails",
    isOpenEnded: true,
    partBytes: 20,
    sentParts: PARTS,
    fault: FaultCode.OutcomeUnknown,
  },
  {
    name: "one with a limit on the whole fails while it arrives",
    isOpenEnded: false,
    partBytes: 2048,
    sentParts: PARTS,
    fault: FaultCode.OutcomeUnknown,
  },
];

for (const given of ARRIVAL_CASES) {
  const { name, isOpenEnded, partBytes, sentParts, fault, maxBytes } = given;
  // Guards against large responses that slow links can never deliver in time.
  test(`JSON client: of responses, ${name}`, async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        const length = partBytes * PARTS;
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
        for (let part = 0; part < sentParts; part += 1) {
          const text = "x".repeat(partBytes);
          setTimeout(() => socket.write(text), part * PART_PAUSE_MS);
        }
      });
    });
    const origin = await listen(t, server);
    const client = createClient(t);
    const result = await client.call({
      method: "GET",
      url: `${origin}/`,
      isOpenEnded,
      maxBytes,
    });
    assert.equal(result.err ? result.val.code : undefined, fault);
    if (result.ok) assert.equal(result.val.text.length, partBytes * PARTS);
  });
}

/** A client that is closed after the test, also when the test fails. */
function createClient(t: TestContext): JsonClient {
  const client = new JsonClient({
    timeoutMs: TIMEOUT_MS,
    connections: 1,
    name: "test",
  });
  t.after(() => client.close());
  return client;
}

/** Listens until the test ends, also when it fails; returns the origin. */
async function listen(t: TestContext, server: Server): Promise<string> {
  t.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const address = server.address();
  assert.ok(address !== null && typeof address === "object");
  return `http://127.0.0.1:${address.port}`;
}
