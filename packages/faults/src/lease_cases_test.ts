import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_FILE_SET } from "@laburnumtrack/core/workload";
import { KeeperGroup } from "@laburnumtrack/scheduler/keeper_group";
import { checkCommitments } from "./check_tasks";
import { checkTasks, type TaskCheck } from "./task_check";
import { type Peer, VIRTUAL_TIMES, VirtualWorld } from "./virtual_world";

interface Case {
  readonly name: string;
  /** Causes the failure; `keeper` is the scheduler that holds `worker`. */
  readonly act: (stage: Stage) => Promise<void>;
  /** Disables the mechanism under test; the checks must then find a violation. */
  readonly mutate?: (stage: Stage) => void;
}

interface Stage {
  readonly world: VirtualWorld;
  readonly keeper: Peer;
  readonly others: readonly Peer[];
  readonly worker: string;
  readonly pass: (ms: number) => Promise<void>;
}

const CUT_MS = 25_000;
/** Longer than any run. */
const FOREVER_MS = 1e9;
// Leaves spare capacity on the workers, so that tasks can move at once.
const WORK = { tasks: 10, runMs: 50_000 };

const CASES: readonly Case[] = [
  {
    name: "the keeper is cut off from the store, the others from its worker",
    act: async ({ world, keeper, others, worker, pass }) => {
      keeper.table.link.faults.isCut = true;
      for (const { workers } of others) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(CUT_MS);
      keeper.table.link.faults.isCut = false;
      for (const { workers } of others) workers.cutOff.delete(worker);
      world.recordReachability();
    },
    mutate: ({ world }) => {
      for (const { scheduler } of world.peers) {
        scheduler.membership.leaseRenewalLimitMs = () => 0;
      }
    },
  },
  {
    name: "no scheduler can reach the worker for a long time",
    act: async ({ world, worker, pass }) => {
      for (const { workers } of world.peers) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(CUT_MS);
      for (const { workers } of world.peers) workers.cutOff.delete(worker);
      world.recordReachability();
    },
    mutate: ({ world }) => {
      for (const worker of world.workers.values()) worker.ignoresLease = true;
    },
  },
  {
    name: "a keeper is frozen for longer than its lease",
    act: async ({ keeper, pass }) => {
      keeper.clock.freeze(VIRTUAL_TIMES.leaseMs * 3);
      await pass(CUT_MS);
    },
  },
  {
    name: "a keeper is frozen for longer than its right to renew",
    act: async ({ keeper, pass }) => {
      keeper.clock.freeze(VIRTUAL_TIMES.rideThroughMs * 2);
      await pass(CUT_MS);
    },
  },
  {
    name: "the store is down and the keeper is frozen",
    act: async ({ world, keeper, pass }) => {
      world.isStoreUp = false;
      keeper.clock.freeze(VIRTUAL_TIMES.leaseMs * 2);
      await pass(VIRTUAL_TIMES.rideThroughMs * 2);
      world.isStoreUp = true;
      await pass(CUT_MS);
    },
  },
  {
    name: "the keeper dies during a long outage of the store",
    act: async ({ world, keeper, pass }) => {
      world.isStoreUp = false;
      keeper.clock.freeze(FOREVER_MS);
      await pass(VIRTUAL_TIMES.rideThroughMs * 3);
      world.isStoreUp = true;
      await pass(CUT_MS);
    },
  },
  {
    name: "the keeper dies and its worker becomes unreachable, without notice",
    act: async ({ world, keeper, worker, pass }) => {
      keeper.clock.freeze(FOREVER_MS);
      for (const { workers } of world.peers) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(CUT_MS * 2);
    },
  },
  {
    name: "two schedulers both believe that they hold the same workers",
    act: async ({ world, keeper, pass }) => {
      // The keeper can neither read nor write rows and goes on from memory, while
      // another scheduler may take over its workers.
      keeper.table.link.faults.isCut = true;
      await pass(VIRTUAL_TIMES.rideThroughMs / 2);
      keeper.table.link.faults.isCut = false;
      await pass(VIRTUAL_TIMES.deadAfterMs);
      world.recordReachability();
    },
  },
  {
    name: "most answers to commits are lost",
    act: async ({ world, pass }) => {
      for (const { table } of world.peers) table.link.faults.lostAnswers = 0.9;
      await pass(CUT_MS);
      for (const { table } of world.peers) table.link.faults.lostAnswers = 0;
    },
  },
  {
    name: "every worker restarts at once",
    act: async ({ world, pass }) => {
      for (const worker of world.workers.values()) worker.restart();
      await pass(CUT_MS);
    },
  },
  {
    name: "a worker restarts, gets tasks again, and is then cut off",
    act: async ({ world, worker, pass }) => {
      world.workers.get(worker)?.restart();
      await pass(VIRTUAL_TIMES.leaseMs * 3);
      for (const { workers } of world.peers) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(CUT_MS);
      for (const { workers } of world.peers) workers.cutOff.delete(worker);
      world.recordReachability();
    },
  },
  {
    name: "a worker restarts while it is cut off, and is cut off again",
    act: async ({ world, worker, pass }) => {
      for (const { workers } of world.peers) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(VIRTUAL_TIMES.leaseMs * 2);
      world.workers.get(worker)?.restart();
      for (const { workers } of world.peers) workers.cutOff.delete(worker);
      world.recordReachability();
      await pass(VIRTUAL_TIMES.leaseMs * 3);
      for (const { workers } of world.peers) workers.cutOff.add(worker);
      world.recordReachability();
      await pass(CUT_MS);
      for (const { workers } of world.peers) workers.cutOff.delete(worker);
      world.recordReachability();
    },
  },
  {
    name: "all schedulers are frozen for longer than a lease",
    act: async ({ world, pass }) => {
      for (const { clock } of world.peers)
        clock.freeze(VIRTUAL_TIMES.leaseMs * 2);
      await pass(CUT_MS);
    },
  },
  {
    name: "some schedulers have an older configuration, which lacks the job",
    act: async ({ world, pass }) => {
      world.setHead(2);
      // The scheduler that places tasks may be one of them.
      for (const [at, peer] of world.peers.entries()) {
        const { files } = peer.configuration;
        peer.configuration =
          at === 0
            ? { version: 2, text: "[]", files }
            : { version: 1, text: "[]", files: EMPTY_FILE_SET };
      }
      await pass(CUT_MS);
      const [newest] = world.peers;
      assert.ok(newest !== undefined);
      for (const peer of world.peers) peer.configuration = newest.configuration;
    },
  },
  {
    name: "messages to the workers take longer than their time-out",
    act: async ({ world, keeper, pass }) => {
      keeper.workers.link.faults.delayMs = 3000;
      world.recordReachability();
      await pass(CUT_MS);
      keeper.workers.link.faults.delayMs = 5;
      world.recordReachability();
    },
  },
];

for (const leaseCase of CASES) {
  test(`leases: ${leaseCase.name}`, async () => {
    const { check, violations } = await runCase(leaseCase, false);
    assert.deepEqual(violations, []);
    assert.equal(check.tasksLost, 0);
  });
  if (leaseCase.mutate === undefined) continue;
  test(`leases: violation without the mechanism: ${leaseCase.name}`, async () => {
    const { check } = await runCase(leaseCase, true);
    assert.notEqual(check.tasksRunTwice, 0);
  });
}

async function runCase(
  { act, mutate }: Case,
  isMutated: boolean,
): Promise<{ readonly check: TaskCheck; readonly violations: string[] }> {
  const world = new VirtualWorld(1, WORK);
  await world.start();
  const stage = createStage(world);
  if (isMutated) mutate?.(stage);
  await act(stage);
  await world.settle();
  const record = world.record();
  const { workers, platform, expectedTasks: expected } = record;
  const check = checkTasks({ workers, platform, expected });
  const commitments = checkCommitments(record).map(({ detail }) => detail);
  return { check, violations: [...check.violations, ...commitments] };
}

function createStage(world: VirtualWorld): Stage {
  const [worker = ""] = world.workers.keys();
  const view = world.peers[0]?.scheduler.view.workers.get(worker);
  const keeper = world.peers.find(
    ({ scheduler }) => scheduler.membership.instance === view?.row.keeper,
  );
  assert.ok(keeper !== undefined, "the worker has a keeper");
  assert.ok(keeper.scheduler.keepers instanceof KeeperGroup);
  assert.notEqual(view?.row.assignments.length, 0);
  const others = world.peers.filter((peer) => peer !== keeper);
  const pass = (ms: number) => world.clock.run(world.clock.nowMs() + ms);
  return { world, keeper, others, worker, pass };
}
