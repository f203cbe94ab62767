import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "@laburnumtrack/core/clock";
import { RowCache } from "@laburnumtrack/core/row_cache";
import {
  chunkKey,
  createTask,
  type Task,
  TaskState,
} from "@laburnumtrack/core/rows";
import { VmPhase } from "@laburnumtrack/core/vm_list";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { EndpointDirectory } from "./endpoint_directory";
import { LeavingVms } from "./leaving_vms";

const FILES = readFileSet([
  {
    file: "f.ini",
    text:
      "[team t]\ncpu_cores = 1\nmemory_mb = 1\n[service s]\nteam = t\n" +
      "route = /s/\nreplicas = 2\ncpu_cores = 1\nmemory_mb = 1\n" +
      "latency_target_ms = 9\n",
  },
]).unwrap();

const VM = {
  id: "vm-0",
  instance: "i",
  address: "a",
  rack: "r",
  failureDomain: "d",
  capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 0 },
};

const CASES: readonly {
  readonly name: string;
  readonly task?: Partial<Task>;
  readonly act?: (leaving: LeavingVms) => void;
  readonly isListed: boolean;
}[] = [
  { name: "a running replica is listed", isListed: true },
  {
    name: "a waiting replica is not listed",
    task: { state: TaskState.Waiting },
    isListed: false,
  },
  {
    name: "a replica without an address is not listed",
    task: { endpoint: null },
    isListed: false,
  },
  {
    name: "a replica marked as leaving is not listed",
    task: { isLeaving: true },
    isListed: false,
  },
  {
    name: "a replica above the replica count is not listed",
    task: { index: 2 },
    isListed: false,
  },
  {
    name: "a replica on a VM that the VM list reports as leaving is not listed",
    act: (leaving) => leaving.onVmList([{ ...VM, phase: VmPhase.Leaving }]),
    isListed: false,
  },
  {
    name: "a replica on a VM that only a peer reports as leaving is not listed",
    act: (leaving) => leaving.onPeerReport("peer", ["vm-0"]),
    isListed: false,
  },
  {
    name: "a replica is listed again when the peer withdraws the report",
    act: (leaving) => {
      leaving.onPeerReport("peer", ["vm-0"]);
      leaving.onPeerReport("peer", []);
    },
    isListed: true,
  },
  {
    name: "a replica is listed again when the reporting peer is removed",
    act: (leaving) => {
      leaving.onPeerReport("peer", ["vm-0"]);
      leaving.retainPeers(new Set());
    },
    isListed: true,
  },
];

for (const { name, task, act, isListed } of CASES) {
  test(`endpoint directory: ${name}`, () => {
    const cache = new RowCache();
    const leavingVms = new LeavingVms();
    const directory = new EndpointDirectory(FILES, {
      clock: new SystemClock(),
      table: new MemoryTable(),
      cache,
      leavingVms,
      self: () => ({ instance: "g", failureDomain: "d" }),
      queueLimit: 1,
      retryShare: 0,
      onShortage: () => {},
    });
    directory.setFiles(FILES);
    const running: Task = {
      ...createTask(0),
      state: TaskState.Placed,
      epoch: 1,
      worker: "vm-0",
      endpoint: { address: "10.0.0.1:80", failureDomain: "d" },
      ...task,
    };
    const row = { workload: "s", since: 1, chunk: 0, tasks: [running] };
    const key = chunkKey("s", 0);
    cache.merge({ key, revision: 1, value: JSON.stringify(row) });
    act?.(leavingVms);
    directory.refreshAll();
    assert.equal(directory.addresses().size, isListed ? 1 : 0);
  });
}

test("endpoint directory: polls read only rows changed since the last poll", async () => {
  const table = new MemoryTable();
  const directory = new EndpointDirectory(FILES, {
    clock: new SystemClock(),
    table,
    cache: new RowCache(),
    leavingVms: new LeavingVms(),
    self: () => ({ instance: "g", failureDomain: "d" }),
    queueLimit: 1,
    retryShare: 0,
    onShortage: () => {},
  });
  const read: number[] = [];
  const get = table.get.bind(table);
  table.get = async (...args) => {
    const result = await get(...args);
    read.push(result.ok ? result.val.length : -1);
    return result;
  };
  const put = (key: string) =>
    table.commitNow({
      checks: [],
      writes: [{ key, value: JSON.stringify({ workload: "s", tasks: [] }) }],
    });
  put(chunkKey("s", 0));
  directory.setFiles(FILES);
  await directory.pollOnce();
  await directory.pollOnce();
  put(chunkKey("s", 0));
  await directory.pollOnce();
  assert.deepEqual(read, [1, 0, 1]);
});
