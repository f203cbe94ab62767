import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "@laburnumtrack/core/clock";
import { FaultCode } from "@laburnumtrack/core/fault";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { LoadFleetStandin } from "@laburnumtrack/standins/load_fleet_standin";
import { RelayLink } from "./relay_link";
import { RelayOperation, type RelayOrder } from "./relay_message";
import { type KnownLeadership, RelayServer } from "./relay_server";

const LEADERSHIP: KnownLeadership = { epoch: 7, instance: "i7" };
const TARGET = { id: "w", address: "10.0.0.1:80" };
const TIMEOUT_MS = 400;
const LIMIT_MS = 3000;
const TASK = { jobId: "0a", occurrence: 0, step: 1, index: 2 };

/** Clock whose wall time can be set forward, as after a pause. */
class JumpingClock extends SystemClock {
  jumpMs = 0;

  override wallMs(): number {
    return super.wallMs() + this.jumpMs;
  }
}

class RelayWorld {
  readonly clock = new JumpingClock();
  readonly fleet = new LoadFleetStandin(this.clock);
  readonly metrics = new Metrics();
  known: KnownLeadership | undefined = LEADERSHIP;
  address = "";
  readonly evacuated = new Set<string>();
  readonly journal = createJournal("test", "fatal");
  readonly server = new RelayServer({
    clock: this.clock,
    journal: this.journal,
    metrics: this.metrics,
    port: this.fleet,
    leadership: () => this.known,
    isEvacuated: (domain) => this.evacuated.has(domain),
  });

  open(hello: KnownLeadership = LEADERSHIP): RelayLink {
    const { journal, address } = this;
    const clock = new SystemClock();
    return new RelayLink({ clock, journal, name: "r", address, hello });
  }
}

function startOrder(epoch = LEADERSHIP.epoch): RelayOrder {
  return {
    operation: RelayOperation.Start,
    order: {
      task: TASK,
      run: 3,
      spec: "0",
      epoch,
      leaseUntilMs: 1e12,
      checkpoint: "",
      ticket: "",
    },
  };
}

function renewOrder(waitMs = 0): RelayOrder {
  const { epoch } = LEADERSHIP;
  const order = { epoch, acknowledged: 0, leaseUntilMs: 1, waitMs };
  return { operation: RelayOperation.Renew, order };
}

async function until(condition: () => boolean): Promise<void> {
  const limitMs = Date.now() + LIMIT_MS;
  while (!condition()) {
    assert.ok(Date.now() < limitMs, "condition not met in time");
    await sleep(5);
  }
}

const CASES: readonly {
  readonly name: string;
  readonly act: (world: RelayWorld) => Promise<void>;
}[] = [
  {
    name: "a call is carried out and its reply returned",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      const started = await link.call(TARGET, startOrder(), TIMEOUT_MS);
      assert.ok(started.ok);
      const report = await link.call(TARGET, renewOrder(), TIMEOUT_MS);
      assert.ok(report.ok && report.val !== null && "running" in report.val);
      const [running] = report.val.running;
      assert.deepEqual(running?.task, TASK);
      assert.equal(running?.run, 3);
      link.close();
    },
  },
  {
    // The relay may know of an evacuation before the leader does. All relays may
    // stand in that domain themselves; the other domains still need them.
    name: "a start in an evacuated domain is refused, other calls are not",
    act: async (world) => {
      world.evacuated.add("x");
      const link = world.open();
      await until(() => link.isOpen);
      const inside = { ...TARGET, failureDomain: "x" };
      const refused = await link.call(inside, startOrder(), TIMEOUT_MS);
      assert.equal(refused.val, FaultCode.WorkerUnreachable);
      assert.equal(world.fleet.counts.starts, 0);
      const renewed = await link.call(inside, renewOrder(), TIMEOUT_MS);
      assert.ok(renewed.ok);
      const outside = { ...TARGET, failureDomain: "y" };
      const started = await link.call(outside, startOrder(), TIMEOUT_MS);
      assert.ok(started.ok);
      link.close();
    },
  },
  {
    name: "the fault of a call is returned",
    act: async (world) => {
      const { epoch } = LEADERSHIP;
      const order = { epoch: epoch + 1, acknowledged: 0, waitMs: 0 };
      await world.fleet.renew(TARGET, { ...order, leaseUntilMs: 1 });
      const link = world.open();
      await until(() => link.isOpen);
      const started = await link.call(TARGET, startOrder(), TIMEOUT_MS);
      assert.equal(started.val, FaultCode.Fenced);
      link.close();
    },
  },
  {
    name: "a leader that the table does not name is refused",
    act: async (world) => {
      const hellos = [
        { epoch: 6, instance: "i6" },
        { epoch: 8, instance: "i8" },
        { epoch: 7, instance: "other" },
      ];
      for (const hello of hellos) {
        const link = world.open(hello);
        await until(() => link.isClosed);
      }
      world.known = undefined;
      const link = world.open();
      await until(() => link.isClosed);
      assert.match(world.metrics.render(), /cause="leadership"} 4/);
    },
  },
  {
    name: "a connection ends once a newer leader is known",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      const call = link.call(TARGET, renewOrder(2000), 3000);
      world.known = { epoch: 8, instance: "i8" };
      assert.equal((await call).val, FaultCode.OutcomeUnknown);
      assert.ok(link.isClosed);
    },
  },
  {
    name: "a call of another epoch is not carried out",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      const call = link.call(TARGET, startOrder(9), TIMEOUT_MS);
      assert.equal((await call).val, FaultCode.OutcomeUnknown);
      assert.equal(world.fleet.counts.starts, 0);
      assert.ok(link.isClosed);
    },
  },
  {
    name: "calls that arrived during a pause are dropped",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      world.clock.jumpMs = 5000;
      const call = link.call(TARGET, startOrder(), TIMEOUT_MS);
      assert.equal((await call).val, FaultCode.OutcomeUnknown);
      assert.equal(world.fleet.counts.starts, 0);
    },
  },
  {
    name: "a connection after a time without any is no pause",
    act: async (world) => {
      const first = world.open();
      await until(() => first.isOpen);
      first.close();
      await sleep(900);
      const link = world.open();
      await until(() => link.isOpen);
      const started = await link.call(TARGET, startOrder(), TIMEOUT_MS);
      assert.ok(started.ok);
      link.close();
    },
  },
  {
    name: "malformed messages end their connection only",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      const texts = [
        "null\n",
        "{\n",
        "[]\n",
        '{"kind":"call","id":1}\n',
        '{"kind":"hello","epoch":"7"}\n',
        `${JSON.stringify({ kind: "call", id: 1, target: TARGET, ...renewOrder() })}\n`,
      ];
      for (const text of texts) {
        const [host, port] = world.address.split(":");
        const socket = connect({ host, port: Number(port) });
        let isClosed = false;
        socket.on("error", () => {});
        socket.on("close", () => {
          isClosed = true;
        });
        socket.write(text);
        await until(() => isClosed);
      }
      assert.ok((await link.call(TARGET, renewOrder(), TIMEOUT_MS)).ok);
      link.close();
    },
  },
  {
    name: "when the relay goes, the outcome of calls is unknown",
    act: async (world) => {
      const link = world.open();
      await until(() => link.isOpen);
      const call = link.call(TARGET, renewOrder(2000), 3000);
      await sleep(50);
      world.server.close();
      assert.equal((await call).val, FaultCode.OutcomeUnknown);
      assert.ok(link.isClosed);
    },
  },
];

for (const { name, act } of CASES) {
  test(`relay: ${name}`, async () => {
    const world = new RelayWorld();
    world.address = await world.server.listen("127.0.0.1:0");
    try {
      await act(world);
    } finally {
      world.server.close();
    }
  });
}

const SILENT_CASES: readonly {
  readonly name: string;
  readonly serve: (socket: Socket) => void;
}[] = [
  { name: "accepts and never answers", serve: () => {} },
  { name: "falls silent after its welcome", serve: sendWelcome },
  {
    name: "answers with a malformed message",
    serve: (socket) => {
      sendWelcome(socket);
      socket.write('{"kind":"reply","id":1,"fault":"?"}\n');
    },
  },
  {
    name: "answers with a malformed report",
    serve: (socket) => {
      sendWelcome(socket);
      socket.write(
        '{"kind":"reply","id":1,"value":{"running":[null],"ended":[]}}\n',
      );
    },
  },
];

function sendWelcome(socket: Socket): void {
  socket.write('{"kind":"welcome"}\n');
}

for (const { name, serve } of SILENT_CASES) {
  test(`relay link: is given up when the relay ${name}`, async () => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      serve(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const bound = server.address();
    assert.ok(bound !== null && typeof bound === "object");
    const link = new RelayLink({
      clock: new SystemClock(),
      journal: createJournal("test", "fatal"),
      name: "r",
      address: `127.0.0.1:${bound.port}`,
      hello: LEADERSHIP,
    });
    const call = link.call(TARGET, startOrder(), LIMIT_MS);
    assert.equal((await call).val, FaultCode.OutcomeUnknown);
    assert.ok(link.isClosed);
    server.close();
  });
}
