import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import { JsonClient } from "@laburnumtrack/http_ports/json_client";
import type { Job, Step } from "@laburnumtrack/jobs/job";
import { createStep } from "@laburnumtrack/jobs/test_samples";
import { listenHttp } from "@laburnumtrack/process/http_listener";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { FeedTableStandin } from "@laburnumtrack/standins/feed_table_standin";
import type { Result } from "ts-results";
import { type ForwardedCall, ForwardPath, HttpDeskPeer } from "./desk_peer";
import { DeskServer } from "./desk_server";
import { JobService } from "./job_service";

const JOB: Job = {
  id: "00000000000000aa",
  queue: "q",
  spec: "x",
  steps: [createStep()],
  repeat: undefined,
  submittedMs: 0,
};
const SUBMIT: ForwardedCall = {
  path: ForwardPath.Submit,
  job: JOB,
  submission: "s",
  mayBeStored: false,
};
const PHASE: ForwardedCall = { path: ForwardPath.Phase, id: JOB.id };
const CANCEL: ForwardedCall = { path: ForwardPath.Cancel, id: JOB.id };

const CASES: readonly {
  readonly name: string;
  readonly calls: readonly ForwardedCall[];
  /** Outcomes of the calls in order. */
  readonly outcomes: readonly string[];
  /** Whether the table is reachable from the other entry; true by default. */
  readonly isReachable?: boolean;
}[] = [
  {
    name: "a job is stored once, read and cancelled",
    calls: [SUBMIT, SUBMIT, PHASE, CANCEL, PHASE],
    outcomes: ["stored", "known", "queued", "", "cancelled"],
  },
  {
    name: "an unknown job",
    calls: [PHASE, CANCEL],
    outcomes: [FaultCode.NotFound, FaultCode.NotFound],
  },
  {
    name: "an entry that the table rejects as well",
    calls: [SUBMIT, PHASE],
    outcomes: [FaultCode.StoreUnavailable, FaultCode.StoreUnavailable],
    isReachable: false,
  },
  {
    name: "a job without steps is not carried out",
    calls: [{ ...SUBMIT, job: { ...JOB, steps: [] } }, PHASE],
    outcomes: [FaultCode.PeerUnreachable, FaultCode.NotFound],
  },
  {
    name: "a job with a step that is none is not carried out",
    calls: [
      { ...SUBMIT, job: { ...JOB, steps: [null as unknown as Step] } },
      { ...SUBMIT, job: { ...JOB, steps: [{ ...createStep(), count: 0.5 }] } },
      PHASE,
    ],
    outcomes: [
      FaultCode.PeerUnreachable,
      FaultCode.PeerUnreachable,
      FaultCode.NotFound,
    ],
  },
  {
    name: "an id that is none",
    calls: [{ ...PHASE, id: "../op" }],
    outcomes: [FaultCode.PeerUnreachable],
  },
];

for (const { name, calls, outcomes, isReachable = true } of CASES) {
  // Guards against calls that are changed on the way between two entries.
  test(`desk server: ${name}`, async (t) => {
    const { address, peer } = await startServer(t, isReachable);
    const seen: string[] = [];
    for (const call of calls) {
      seen.push(textOf(await peer.call(address, call, 2000)));
    }
    assert.deepEqual(seen, outcomes);
  });
}

test("desk server: an entry that has ended carries nothing out", async (t) => {
  const { close, address, peer } = await startServer(t, true);
  await close();
  const done = await peer.call(address, SUBMIT, 2000);
  assert.equal(textOf(done), FaultCode.PeerUnreachable);
});

// Guards against a stopping entry that cuts the connection of a forwarded call.
test("desk server: calls are answered before the process ends", async (t) => {
  const startMs = performance.now();
  const { address, peer, table } = await startServer(t, true, startMs + 500);
  table.delaysMs.set("entry", 4000);
  const done = await peer.call(address, SUBMIT, 5000);
  assert.equal(textOf(done), FaultCode.OutcomeUnknown);
  // A busy machine delays the answer itself.
  assert.ok(performance.now() < startMs + 2000, "answered after the end");
});

// Guards against memory and connections used up by calls of other entries.
test("desk server: calls at a time are bounded", async (t) => {
  const { address, peer, table } = await startServer(t, true);
  table.delaysMs.set("entry", 300);
  const calls = Array.from({ length: 60 }, () =>
    peer.call(address, PHASE, 3000),
  );
  const outcomes = (await Promise.all(calls)).map(textOf);
  const refused = outcomes.filter((text) => text === FaultCode.PeerUnreachable);
  assert.equal(refused.length, 12);
});

async function startServer(
  t: { after: (action: () => Promise<void>) => void },
  isReachable: boolean,
  endMs = Number.POSITIVE_INFINITY,
) {
  const clock = new SystemClock();
  const table = new FeedTableStandin(clock);
  const server = new DeskServer({
    clock,
    journal: createJournal("test", "fatal"),
    metrics: new Metrics(),
    desk: new JobService({
      clock,
      table: table.viewOf("entry"),
      isTableReachable: () => isReachable,
    }),
    endMs: () => endMs,
  });
  const listener = await listenHttp("127.0.0.1:0", (request, response) => {
    void server.handle(request, response);
  });
  const client = new JsonClient({
    timeoutMs: 1000,
    connections: 60,
    name: "test",
  });
  let isClosed = false;
  const close = async () => {
    if (isClosed) return;
    isClosed = true;
    await client.close();
    await listener.close();
  };
  t.after(close);
  return {
    address: listener.address,
    peer: new HttpDeskPeer(client),
    table,
    close: async () => {
      await listener.close();
    },
  };
}

function textOf(result: Result<string, Fault>): string {
  return result.ok ? result.val : result.val.code;
}
