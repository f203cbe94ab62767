import assert from "node:assert/strict";
import { test } from "node:test";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { VirtualClock } from "@laburnumtrack/standins/virtual_clock";
import { Err, Ok, type Result } from "ts-results";
import { DeskPeer, type ForwardedCall, ForwardPath } from "./desk_peer";
import { Forwarder } from "./forwarder";

const CALL: ForwardedCall = { path: ForwardPath.Phase, id: "00000000000000aa" };
const TARGETS = [
  { address: "far1", failureDomain: "b" },
  { address: "near1", failureDomain: "a" },
  { address: "near2", failureDomain: "a" },
  { address: "far2", failureDomain: "b" },
  { address: "far3", failureDomain: "b" },
  { address: "far4", failureDomain: "b" },
];

/** Entries that answer as a test decides, and keep open calls open. */
class ScriptedPeer extends DeskPeer {
  readonly called: string[] = [];
  readonly failing = new Set<string>();
  readonly silent = new Set<string>();

  override async call(address: string): Promise<Result<string, Fault>> {
    this.called.push(address);
    if (this.silent.has(address)) return await new Promise(() => {});
    return this.failing.has(address)
      ? Err(new Fault(FaultCode.StoreUnavailable))
      : Ok("queued");
  }
}

interface World {
  readonly clock: VirtualClock;
  readonly peer: ScriptedPeer;
  readonly forwarder: Forwarder;
  /** Forwards one call of a caller. */
  readonly forward: (tried?: Set<string>) => Promise<unknown>;
}

const CASES: readonly {
  readonly name: string;
  readonly act: (world: World) => Promise<void>;
  readonly called: readonly string[];
}[] = [
  {
    name: "an entry of the same failure domain is asked first",
    act: async ({ forward }) => void (await forward()),
    called: ["near1"],
  },
  {
    name: "the entry that succeeded last is asked again",
    act: async ({ clock, peer, forward }) => {
      peer.failing.add("near1");
      await forward();
      peer.failing.clear();
      await forward();
      // The back-off of the first one is over by then.
      await clock.run(5000);
      await forward();
    },
    called: ["near1", "near2", "near2"],
  },
  {
    name: "one call asks no entry twice",
    act: async ({ peer, forward }) => {
      for (const { address } of TARGETS) peer.failing.add(address);
      const tried = new Set<string>();
      for (let count = 0; count < 6; count += 1) await forward(tried);
    },
    called: ["near1", "near2", "far1", "far2"],
  },
  {
    name: "an entry that failed is asked again after its back-off, which grows",
    act: async ({ clock, peer, forward }) => {
      for (const { address } of TARGETS) peer.failing.add(address);
      peer.failing.delete("far2");
      await forward();
      await forward(new Set(["near2", "far1"]));
      const others = ["near2", "far1", "far2", "far3", "far4"];
      await clock.run(400);
      await forward(new Set(others));
      await clock.run(600);
      await forward(new Set(others));
      await clock.run(1500);
      await forward(new Set(others));
      await clock.run(1700);
      await forward(new Set(others));
    },
    called: ["near1", "far2", "near1", "near1"],
  },
  {
    name: "failures of all entries pause the calls, longer each time",
    act: async ({ clock, peer, forward }) => {
      for (const { address } of TARGETS) peer.failing.add(address);
      for (let count = 0; count < 6; count += 1) await forward();
      await clock.run(250);
      for (let count = 0; count < 6; count += 1) await forward();
      await clock.run(600);
      for (let count = 0; count < 6; count += 1) await forward();
      await clock.run(1150);
      for (let count = 0; count < 6; count += 1) await forward();
      peer.called.push("after 1150 ms");
      await clock.run(1250);
      for (let count = 0; count < 6; count += 1) await forward();
    },
    called: [
      ...["near1", "near2", "far1", "far2"],
      ...["near1", "near2", "far1", "far2"],
      ...["after 1150 ms", "far3", "far4"],
    ],
  },
  {
    name: "an entry that keeps a call open gets no further one",
    act: async ({ clock, peer, forward }) => {
      peer.silent.add("near1");
      void forward();
      await clock.run(500);
      await forward();
    },
    called: ["near1", "near2"],
  },
];

for (const { name, act, called } of CASES) {
  // Guards against calls that wait for entries which the table rejects as well.
  test(`forwarder: ${name}`, async () => {
    const world = createWorld();
    await act(world);
    assert.deepEqual(world.peer.called, called);
  });
}

// Guards against an entry that exhausts its memory and its peers in an outage.
test("forwarder: open calls are bounded", async () => {
  const { peer, forwarder, forward } = createWorld();
  for (const { address } of TARGETS) peer.silent.add(address);
  for (let count = 0; count < 100; count += 1) void forward();
  assert.equal(peer.called.length, 48);
  assert.equal(forwarder.canForward(new Set()), false);
  assert.equal(await forward(), FaultCode.PeerUnreachable);
});

function createWorld(): World {
  const clock = new VirtualClock();
  const peer = new ScriptedPeer();
  const forwarder = new Forwarder({
    clock,
    journal: createJournal("test", "fatal"),
    metrics: new Metrics(),
    peer,
    targets: () => TARGETS,
    failureDomain: "a",
    random: () => 0,
  });
  const forward = async (tried = new Set<string>()) => {
    const done = await forwarder.forward(CALL, 1000, tried);
    return done.ok ? done.val : done.val.code;
  };
  return { clock, peer, forwarder, forward };
}
