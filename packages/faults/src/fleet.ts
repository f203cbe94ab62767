import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Role } from "@laburnumtrack/core/rows";
import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";
import type { Listener } from "@laburnumtrack/process/http_listener";
import { History } from "@laburnumtrack/standins/history";
import { PlatformStandin } from "@laburnumtrack/standins/platform_standin";
import { WorkerStandin } from "@laburnumtrack/standins/worker_standin";
import { request } from "undici";
import {
  FLEET_TOKEN,
  type FleetMember,
  type FleetTimes,
  renderSettings,
} from "./fleet_settings";

/** Size and set-up of a fleet. */
export interface FleetOptions {
  /** Folder with the bundled programs. */
  readonly programs: string;
  readonly failureDomains: readonly string[];
  /** Number of gateways, and of schedulers, in every failure domain. */
  readonly entryVms: number;
  readonly workers: number;
  readonly times: FleetTimes;
  /** Folder for the logs of the processes; undefined discards them. */
  readonly logFolder?: string | undefined;
}

/** Short times, with which failures are detected within about two seconds. */
export const SHORT_TIMES: FleetTimes = {
  beatMs: 400,
  deadAfterMs: 1600,
  leaseMs: 2000,
  renewMs: 300,
  rideThroughMs: 4000,
};

const WORKERS_PER_RACK = 8;
/** Time within which all processes must answer on their admin ports. */
const READY_TIMEOUT_MS = 20_000;

interface FleetProcess {
  readonly member: FleetMember;
  child: ChildProcess | undefined;
  exited: Promise<void>;
  /** Exit code of the last run; null if a signal ended it or none has ended. */
  lastExitCode: number | null;
}

/**
 * Runs the real gateway and scheduler programs as child processes, against
 * stand-ins for the platform and the workers.
 */
export class Fleet {
  readonly platform = new PlatformStandin();
  readonly history = new History();
  readonly workers: WorkerStandin[] = [];
  readonly #options: FleetOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "laburnumtrack-"));
  readonly #processes = new Map<string, FleetProcess>();
  readonly #listeners: Listener[] = [];
  #platformUrl = "";

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /**
   * Starts the stand-ins and every process; resolves once all answer on their
   * admin ports.
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    const platform = await fleet.platform.listen("127.0.0.1:0");
    fleet.#listeners.push(platform);
    fleet.#platformUrl = `http://${platform.address}`;
    await fleet.#startWorkers();
    for (const member of planMembers(options)) {
      const process: FleetProcess = {
        member,
        child: undefined,
        exited: Promise.resolve(),
        lastExitCode: null,
      };
      fleet.#processes.set(member.name, process);
      fleet.startProcess(member.name);
    }
    await fleet.waitUntilReachable();
    return fleet;
  }

  /** All members with a role, running or not. */
  members(role: Role): FleetMember[] {
    const all = [...this.#processes.values()].map(({ member }) => member);
    return all.filter((member) => member.role === role);
  }

  /** Names of the members with a role whose process is running. */
  running(role: Role): string[] {
    const running: string[] = [];
    for (const { member, child } of this.#processes.values()) {
      if (member.role === role && child !== undefined)
        running.push(member.name);
    }
    return running;
  }

  /** `host:port` of the running gateways, for callers. */
  callerAddresses(): string[] {
    return this.members(Role.Gateway)
      .filter(({ name }) => this.running(Role.Gateway).includes(name))
      .map(({ host, callerPort }) => `${host}:${callerPort}`);
  }

  /** Admin addresses of all schedulers, comma-separated, for the operator command. */
  schedulerAddresses(): string {
    return this.members(Role.Scheduler)
      .map(({ host, adminPort }) => `${host}:${adminPort}`)
      .join(",");
  }

  /** Starts the process of a member that is not running. */
  startProcess(name: string): void {
    const process = this.#getProcess(name);
    const { member } = process;
    const settings = join(this.#folder, `${name}.ini`);
    writeFileSync(
      settings,
      renderSettings(member, this.#platformUrl, this.#options.times),
    );
    const program = join(
      this.#options.programs,
      `laburnumtrack-${member.role}.cjs`,
    );
    const child = spawn("node", [program, "--settings", settings], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { logFolder } = this.#options;
    if (logFolder === undefined) {
      child.stdout.resume();
      child.stderr.resume();
    } else {
      const log = createWriteStream(join(logFolder, `${name}.log`), {
        flags: "a",
      });
      child.stdout.pipe(log);
      child.stderr.pipe(log);
    }
    process.child = child;
    process.exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        process.lastExitCode = code;
        if (process.child === child) process.child = undefined;
        resolve();
      });
    });
  }

  /** Sends a signal to a process; SIGKILL and SIGTERM are awaited to its exit. */
  async signal(name: string, signal: NodeJS.Signals): Promise<void> {
    const { child, exited } = this.#getProcess(name);
    child?.kill(signal);
    const isTerminating = signal === "SIGKILL" || signal === "SIGTERM";
    if (isTerminating) await exited;
  }

  /** Runs the operator command; resolves with its exit status and output. */
  runOperatorCommand(
    args: readonly string[],
  ): Promise<{ readonly status: number; readonly output: string }> {
    const program = join(this.#options.programs, "laburnumtrack.cjs");
    return new Promise((resolve) => {
      const child = spawn("node", [program, ...args], {
        env: {
          ...process.env,
          LABURNUMTRACK_TOKEN: FLEET_TOKEN,
          LABURNUMTRACK_SCHEDULER: this.schedulerAddresses(),
        },
      });
      let output = "";
      child.stdout.on("data", (chunk) => {
        output += chunk;
      });
      child.stderr.on("data", (chunk) => {
        output += chunk;
      });
      child.once("close", (code) => resolve({ status: code ?? 1, output }));
    });
  }

  /** Process ID of a member; undefined while it is not running. */
  pidOf(name: string): number | undefined {
    return this.#getProcess(name).child?.pid;
  }

  /** Exit code of the last run of a member; null if a signal ended it. */
  lastExitCodeOf(name: string): number | null {
    return this.#getProcess(name).lastExitCode;
  }

  /** Reads the JSON answer of an admin path of a member, such as `/dump`. */
  async readAdminPath(name: string, path: string): Promise<unknown> {
    const { host, adminPort } = this.#getProcess(name).member;
    const response = await request(`http://${host}:${adminPort}${path}`, {
      headers: { authorization: `Bearer ${FLEET_TOKEN}` },
      signal: AbortSignal.timeout(3000),
    });
    return await response.body.json();
  }

  /**
   * Resolves once all running processes answer on their admin ports; throws
   * after `READY_TIMEOUT_MS`.
   */
  async waitUntilReachable(): Promise<void> {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    for (const { member, child } of this.#processes.values()) {
      while (child !== undefined && !(await this.#isReachable(member.name))) {
        if (Date.now() > endMs)
          throw new Error(
            `${member.name} did not answer /dump within ${READY_TIMEOUT_MS} ms`,
          );
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
    }
  }

  /** Changes the VM list of the platform; undefined removes a VM. */
  changeVms(change: (vm: Vm) => Vm | undefined): void {
    const vms = this.platform.vms.map(change);
    this.platform.setVms(vms.filter((vm) => vm !== undefined));
  }

  /** Kills all processes and closes the stand-ins. */
  async stop(): Promise<void> {
    const running = [...this.#processes.values()];
    for (const { child } of running) child?.kill("SIGKILL");
    await Promise.all(running.map(({ exited }) => exited));
    for (const worker of this.workers) worker.close();
    for (const { server } of this.#listeners) {
      server.closeAllConnections();
      server.close();
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startWorkers(): Promise<void> {
    const { workers, failureDomains } = this.#options;
    const vms: Vm[] = [];
    for (let index = 0; index < workers; index += 1) {
      const id = `vm-${String(index).padStart(3, "0")}`;
      const worker = new WorkerStandin(id, this.history);
      const listener = await worker.listen("127.0.0.1:0");
      this.workers.push(worker);
      this.#listeners.push(listener);
      const domain = index % failureDomains.length;
      const indexInDomain = Math.floor(index / failureDomains.length);
      const rack = Math.floor(indexInDomain / WORKERS_PER_RACK);
      vms.push({
        id,
        instance: worker.instance,
        address: listener.address,
        rack: `rack-${domain}-${rack}`,
        failureDomain: failureDomains[domain] ?? "",
        capacity: { cpuMilli: 16_000, memoryMb: 61_440, accelerators: 0 },
        phase: VmPhase.Live,
      });
    }
    this.platform.setVms(vms);
  }

  async #isReachable(name: string): Promise<boolean> {
    try {
      await this.readAdminPath(name, "/dump");
      return true;
    } catch {
      return false;
    }
  }

  #getProcess(name: string): FleetProcess {
    const process = this.#processes.get(name);
    if (process === undefined)
      throw new Error(`the fleet has no member ${name}`);
    return process;
  }
}

function planMembers(options: FleetOptions): FleetMember[] {
  const members: FleetMember[] = [];
  // The base port is random because fleets of other runs may be running on this
  // machine. Ports from 32768 on are left to outgoing connections.
  const basePort = 12_000 + Math.floor(Math.random() * 200) * 100;
  for (const role of [Role.Gateway, Role.Scheduler]) {
    for (const failureDomain of options.failureDomains) {
      for (let index = 0; index < options.entryVms; index += 1) {
        const port = basePort + members.length * 3;
        members.push({
          name: `${role}-${failureDomain}-${index}`,
          role,
          failureDomain,
          host: "127.0.0.1",
          peerPort: port,
          adminPort: port + 1,
          callerPort: port + 2,
        });
      }
    }
  }
  return members;
}
