import {
  type HeadRow,
  KeyPrefix,
  Role,
  taskName,
} from "@laburnumtrack/core/rows";
import type { Row } from "@laburnumtrack/core/table";
import { TokenRing } from "@laburnumtrack/core/token_ring";
import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";
import type { FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import type { Configuration } from "@laburnumtrack/process/config_watch";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import {
  Scheduler,
  type SchedulerTimes,
} from "@laburnumtrack/scheduler/scheduler";
import { Dice } from "@laburnumtrack/standins/dice";
import { History } from "@laburnumtrack/standins/history";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { kindOf } from "@laburnumtrack/standins/platform_standin";
import {
  ProcessClock,
  VirtualClock,
} from "@laburnumtrack/standins/virtual_clock";
import {
  VirtualTable,
  VirtualVmList,
  VirtualWorkers,
} from "@laburnumtrack/standins/virtual_ports";
import { WorkerStandin } from "@laburnumtrack/standins/worker_standin";
import type { RunRecord } from "./run_record";
import { checkTasks } from "./task_check";

const BEGIN_MS = 17_000;
const FAULTS_MS = 60_000;
const SETTLE_MS = 180_000;
const SLOW_MS = 3000;
const PUSH_MS = 4;
const WORKERS_PER_RACK = 8;

/** Times of the schedulers in a virtual world. */
export const TIMES: SchedulerTimes = {
  beatMs: 1000,
  deadAfterMs: 3000,
  leaseMs: 4000,
  renewMs: 1000,
  rideThroughMs: 16_000,
  placeMs: 200,
  clockDrift: 0.01,
  lostGraceMs: 500,
};

/** How much work there is in a virtual world. */
export interface VirtualWork {
  readonly tasks: number;
  /** Time that a task takes, in ms. */
  readonly runMs: number;
  /** More of the tasks' work text. */
  readonly more?: string;
  readonly workers?: number;
  readonly schedulers?: number;
  /** Whether schedulers push rows to each other; else they only poll. */
  readonly hasPushes?: boolean;
}

/** A scheduler and its links. */
export interface Peer {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly table: VirtualTable;
  readonly workers: VirtualWorkers;
  readonly scheduler: Scheduler;
  /** What it has in force. */
  configuration: Configuration;
}

/** Some schedulers, workers and a table, in virtual time. */
export class VirtualWorld {
  readonly clock = new VirtualClock();
  readonly history = new History(this.clock);
  readonly platform = new History(this.clock);
  readonly workers = new Map<string, WorkerStandin>();
  readonly peers: Peer[] = [];
  readonly table = new MemoryTable();
  readonly #dice: Dice;
  readonly #tasks: number;
  readonly #hasPushes: boolean;
  readonly #files: FileSet;
  #vms: Vm[] = [];
  /** Whether the table answers anyone. */
  isStoreUp = true;
  #ids = 0;

  constructor(seed: number, work: VirtualWork) {
    this.#dice = new Dice(seed);
    this.#tasks = work.tasks;
    this.#files = createFiles(work);
    this.table.onCommit = ({ writes }) => {
      for (const { key, value } of writes) {
        const kind = kindOf(key);
        if (kind === undefined) continue;
        const detail = value ?? "";
        this.platform.add({ kind, place: key, subject: "", epoch: 0, detail });
      }
    };
    this.setHead(1);
    this.#hasPushes = work.hasPushes ?? false;
    for (let at = 0; at < (work.workers ?? 4); at += 1) {
      this.#addWorker(`vm-${at}`, Math.floor(at / WORKERS_PER_RACK));
    }
    for (let at = 0; at < (work.schedulers ?? 3); at += 1) {
      this.#addScheduler(`s-${at}`);
    }
  }

  /** Starts the schedulers and lets them place the first tasks. */
  async begin(): Promise<void> {
    for (const { scheduler } of this.peers) void scheduler.run();
    await this.clock.run(BEGIN_MS);
  }

  /** Lets time pass until all tasks are done, or too long. */
  async settle(): Promise<void> {
    while (!this.#isAllDone() && this.clock.nowMs() < SETTLE_MS) {
      await this.clock.run(this.clock.nowMs() + 1000);
    }
  }

  /** Does faults one after the other, some at a time, then none. */
  async runFaults(): Promise<void> {
    await this.begin();
    while (this.clock.nowMs() < FAULTS_MS) {
      this.#doFault();
      if (this.#dice.isHit(0.4)) this.#doFault();
      const nextMs = this.clock.nowMs() + this.#dice.between(200, 5000);
      await this.clock.run(nextMs);
    }
    await this.settle();
  }

  /** Commits a version of the configuration. */
  setHead(version: number): void {
    const head: HeadRow = {
      version,
      applyId: `apply-${version}`,
      object: "",
      appliedAtMs: 0,
    };
    this.table.commitNow({
      checks: [],
      writes: [{ key: KeyPrefix.Head, value: JSON.stringify(head) }],
    });
  }

  /** What the stand-ins saw. */
  record(): RunRecord {
    const expectedTasks: string[] = [];
    for (let at = 0; at < this.#tasks; at += 1) {
      expectedTasks.push(taskName("work", at));
    }
    return {
      workers: this.history.list(),
      platform: this.platform.list(),
      calls: [],
      sightings: [],
      applies: [],
      operatorComplaints: [],
      excuses: [],
      stops: [],
      departures: [],
      expectedTasks,
      capacities: new Map(this.#vms.map((vm) => [vm.id, vm.capacity])),
    };
  }

  #doFault(): void {
    const dice = this.#dice;
    const peer = dice.pick(this.peers);
    const forMs = dice.between(500, 20_000);
    const undo = (onDue: () => void) =>
      this.clock.at(this.clock.nowMs() + forMs, onDue);
    const worker = dice.pick([...this.workers.values()]);
    const faults: readonly (() => void)[] = [
      () => peer.clock.freeze(forMs),
      () => {
        this.isStoreUp = false;
        undo(() => {
          this.isStoreUp = true;
        });
      },
      () => {
        peer.table.link.faults.isCut = true;
        undo(() => {
          peer.table.link.faults.isCut = false;
        });
      },
      () => {
        peer.table.link.faults.lostAnswers = 0.4;
        undo(() => {
          peer.table.link.faults.lostAnswers = 0;
        });
      },
      () => {
        peer.table.link.faults.delayMs = 600;
        undo(() => {
          peer.table.link.faults.delayMs = 5;
        });
      },
      () => {
        peer.workers.link.faults.delayMs = SLOW_MS;
        this.noteReach();
        undo(() => {
          peer.workers.link.faults.delayMs = 5;
          this.noteReach();
        });
      },
      () => {
        peer.workers.cutOff.add(worker.id);
        this.noteReach();
        undo(() => {
          peer.workers.cutOff.delete(worker.id);
          this.noteReach();
        });
      },
      () => {
        // The owner keeps its workers and loses the table; the others
        // cannot reach its workers.
        peer.table.link.faults.isCut = true;
        const others = this.peers.filter((other) => other !== peer);
        for (const { workers } of others) workers.cutOff.add(worker.id);
        this.noteReach();
        undo(() => {
          peer.table.link.faults.isCut = false;
          for (const { workers } of others) workers.cutOff.delete(worker.id);
          this.noteReach();
        });
      },
      () => worker.restart(),
      () => {
        worker.failsAll = true;
        undo(() => {
          worker.failsAll = false;
        });
      },
    ];
    dice.pick(faults)();
  }

  /** Has the workers record which schedulers cannot reach them. */
  noteReach(): void {
    for (const worker of this.workers.values()) {
      const cut = this.peers.filter(
        ({ workers }) =>
          workers.cutOff.has(worker.id) ||
          workers.link.faults.delayMs === SLOW_MS,
      );
      worker.setCutOff(cut.map(({ name }) => name));
    }
  }

  #isAllDone(): boolean {
    const { workers, platform, expectedTasks: expected } = this.record();
    return checkTasks({ workers, platform, expected }).tasksLost === 0;
  }

  #addWorker(id: string, rack: number): void {
    const worker = new WorkerStandin(id, this.history, this.clock);
    this.workers.set(id, worker);
    this.#vms.push({
      id,
      instance: "listed",
      address: id,
      rack: `rack-${rack}`,
      failureDomain: "d",
      capacity: { cpuMilli: 16_000, memoryMb: 60_000, accelerators: 0 },
      phase: VmPhase.Live,
    });
  }

  #push(sender: Peer, rows: readonly Row[]): void {
    if (!this.#hasPushes) return;
    for (const peer of this.peers) {
      if (peer === sender) continue;
      const arriveMs = this.clock.nowMs() + PUSH_MS;
      this.clock.at(arriveMs, () => peer.scheduler.onPushedRows(rows));
    }
  }

  #pushTo(instance: string, row: Row): void {
    if (!this.#hasPushes) return;
    const peer = this.peers.find(
      ({ scheduler }) => scheduler.membership.instance === instance,
    );
    const arriveMs = this.clock.nowMs() + PUSH_MS;
    this.clock.at(arriveMs, () => peer?.scheduler.onPushedRows([row]));
  }

  #addScheduler(name: string): void {
    const clock = new ProcessClock(this.clock);
    const options = { network: this.clock, clock, dice: this.#dice };
    const table = new VirtualTable(this.table, () => this.isStoreUp, options);
    const workers = new VirtualWorkers(this.workers, options);
    const ids = () => {
      this.#ids += 1;
      return `${name}-${this.#ids}`;
    };
    const force = {
      configuration: { version: 1, text: "[]", files: this.#files },
    };
    const scheduler = new Scheduler({
      clock,
      table,
      vmList: new VirtualVmList(() => this.#vms),
      worker: workers,
      ring: new TokenRing(table, clock, ids),
      journal: createJournal("test", "fatal"),
      metrics: new Metrics(),
      self: {
        name,
        role: Role.Scheduler,
        failureDomain: "d",
        peerAddress: name,
        adminAddress: name,
      },
      times: TIMES,
      configuration: () => peer.configuration,
      ids,
      onCommitted: (rows) => this.#push(peer, rows),
      pushRow: (instance, row) => this.#pushTo(instance, row),
      onMembersChanged: () => {},
      onReplaced: () => {
        throw new Error("nobody shares a name here");
      },
    });
    const peer: Peer = { name, clock, table, workers, scheduler, ...force };
    this.peers.push(peer);
  }
}

function createFiles({ tasks, runMs, more = "" }: VirtualWork): FileSet {
  const text = `
[team t]
cpu_cores = 1000
memory_mb = 100000000
[job work]
team = t
tasks = ${tasks}
cpu_cores = 3
memory_mb = 1000
retries = 100
work = run_ms=${runMs} ${more}
`;
  return readFileSet([{ file: "test.ini", text }]).unwrap();
}
