import { Role } from "@laburnumtrack/core/rows";
import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";
import { SeededRandom } from "@laburnumtrack/standins/dice";
import { createNoFaults } from "@laburnumtrack/standins/platform_faults";
import { Caller } from "./caller";
import { FaultKind } from "./fault_kind";
import type { Fleet } from "./fleet";
import { Operators } from "./operators";
import type {
  Exemption,
  PlannedStop,
  RunRecord,
  VersionObservation,
  VmDeparture,
} from "./run_record";
import { checkTasks } from "./task_check";

/** Interval between two reads of the configuration version of all members. */
const SAMPLE_INTERVAL_MS = 250;
const CALLER_COUNT = 8;
/** Pause of a caller between two requests. */
const CALL_PAUSE_MS = 25;
/** Time after the last fault within which all expected tasks must get done. */
const SETTLE_TIMEOUT_MS = 45_000;
/** How long an exemption outlasts its fault. */
const EXEMPTION_SLACK_MS = 1500;

/** Puts a fleet under load, injects faults, and records what can be observed. */
export class FaultRun {
  /** Kinds of the injected faults, in order. */
  readonly injected: string[] = [];
  readonly caller = new Caller();
  readonly #fleet: Fleet;
  readonly #dice: SeededRandom;
  readonly #operators: Operators;
  readonly #stopped = new AbortController();
  readonly #observations: VersionObservation[] = [];
  readonly #exemptions: Exemption[] = [];
  readonly #plannedStops: PlannedStop[] = [];
  readonly #departures: VmDeparture[] = [];
  readonly #capacities = new Map<string, Vm["capacity"]>();
  /** Caller addresses of the gateways that the load balancer no longer uses. */
  readonly #drained = new Set<string>();

  constructor(fleet: Fleet, seed: number) {
    this.#fleet = fleet;
    this.#dice = new SeededRandom(seed);
    this.#operators = new Operators(fleet, this.#dice);
    for (const vm of fleet.platform.vms) {
      this.#capacities.set(vm.id, vm.capacity);
    }
  }

  /** Runs load and faults for some time, then waits for the expected tasks. */
  async run(seconds: number): Promise<void> {
    await this.#operators.addJob();
    await this.#waitForEndpoints();
    const background = Promise.all([
      this.#sampleVersions(),
      this.#runCallers(),
      this.#operators.submitJobs(),
    ]);
    const endMs = Date.now() + seconds * 1000;
    while (Date.now() < endMs) {
      await pause(this.#dice.between(600, 1800));
      const faults = [this.#inject(this.#dice.pick(Object.values(FaultKind)))];
      if (this.#dice.chance(0.35)) {
        faults.push(this.#inject(this.#dice.pick(Object.values(FaultKind))));
      }
      await Promise.all(faults);
    }
    await this.#settle();
    this.#stopped.abort();
    await background;
  }

  /** Injects one fault; resolves when it is reverted. */
  async inject(kind: FaultKind): Promise<void> {
    await this.#inject(kind);
  }

  /** Everything observed so far. */
  record(): RunRecord {
    return {
      workers: this.#fleet.history.list(),
      platform: this.#fleet.platform.history.list(),
      calls: this.caller.calls,
      observations: this.#observations,
      applies: this.#operators.applies,
      inconsistencies: this.#operators.inconsistencies,
      exemptions: this.#exemptions,
      plannedStops: this.#plannedStops,
      departures: this.#departures,
      expectedTasks: this.#operators.expectedTasks(),
      capacities: this.#capacities,
    };
  }

  async #inject(kind: FaultKind): Promise<void> {
    this.injected.push(kind);
    const actions: Record<FaultKind, () => Promise<void>> = {
      [FaultKind.KillScheduler]: () => this.#killAndRestart(Role.Scheduler),
      [FaultKind.KillGateway]: () => this.#killAndRestart(Role.Gateway),
      [FaultKind.FreezeScheduler]: () => this.#freeze(Role.Scheduler),
      [FaultKind.FreezeGateway]: () => this.#freeze(Role.Gateway),
      [FaultKind.StoreDown]: () =>
        this.#setPlatformFault("isDown", true, [1000, 5000]),
      [FaultKind.StoreSlow]: () =>
        this.#setPlatformFault("delayMs", 400, [2000, 4000]),
      [FaultKind.AnswersLost]: () =>
        this.#setPlatformFault("lostAnswers", 0.4, [2000, 4000]),
      [FaultKind.VmListLags]: () =>
        this.#setPlatformFault("vmLagMs", 3000, [3000, 5000]),
      [FaultKind.WorkerCut]: () => this.#cutWorker(),
      [FaultKind.WorkerRestart]: () => this.#restartWorker(),
      [FaultKind.WorkerFailsAll]: () => this.#failTasks(),
      [FaultKind.VmLeaves]: () => this.#removeVm(),
      [FaultKind.SchedulerCutFromStore]: () =>
        this.#cutFromStore(Role.Scheduler),
      [FaultKind.OwnerSplit]: () => this.#isolateOwner(),
      [FaultKind.GatewayCutFromStore]: () => this.#cutFromStore(Role.Gateway),
      [FaultKind.OperatorsRace]: () => this.#operators.raceApplies(),
      [FaultKind.ApplyRepeated]: () => this.#operators.repeatApply(),
      [FaultKind.CancellationWave]: () => this.#operators.cancelMostJobs(),
      [FaultKind.StopGateway]: () => this.#stopAndRestart(Role.Gateway),
      [FaultKind.StopScheduler]: () => this.#stopAndRestart(Role.Scheduler),
      [FaultKind.RestartAll]: () => this.#restartAll(),
      [FaultKind.UrgentJob]: () => this.#operators.addJob(true),
    };
    await actions[kind]();
  }

  async #killAndRestart(role: Role): Promise<void> {
    const name = this.#pickRunning(role);
    if (name === undefined) return;
    await this.#fleet.signal(name, "SIGKILL");
    await pause(this.#dice.between(300, 3500));
    this.#fleet.startProcess(name);
  }

  async #freeze(role: Role): Promise<void> {
    const name = this.#pickRunning(role);
    if (name === undefined) return;
    const endExemption = this.#beginExemption(name);
    await this.#fleet.signal(name, "SIGSTOP");
    await pause(this.#dice.between(2500, 6000));
    await this.#fleet.signal(name, "SIGCONT");
    endExemption();
  }

  async #setPlatformFault<
    K extends "isDown" | "delayMs" | "lostAnswers" | "vmLagMs",
  >(
    key: K,
    value: Fleet["platform"]["faults"][K],
    [least, most]: readonly [number, number],
  ): Promise<void> {
    const { faults } = this.#fleet.platform;
    const endExemption = this.#beginExemption("");
    faults[key] = value;
    await pause(this.#dice.between(least, most));
    // Two faults of one kind may overlap. Reset to the healthy value, not to the
    // value found at the start, which may be the other's fault.
    faults[key] = createNoFaults()[key];
    endExemption();
  }

  async #cutWorker(): Promise<void> {
    const worker = this.#dice.pick(this.#fleet.workers);
    worker.setCut(true);
    await pause(this.#dice.between(500, 6000));
    worker.setCut(false);
  }

  async #restartWorker(): Promise<void> {
    const worker = this.#dice.pick(this.#fleet.workers);
    worker.restart();
    await pause(this.#dice.between(0, 1000));
    this.#fleet.changeVms((vm) =>
      vm.id === worker.id ? { ...vm, instance: worker.instance } : vm,
    );
  }

  async #failTasks(): Promise<void> {
    const worker = this.#dice.pick(this.#fleet.workers);
    worker.failsAll = true;
    await pause(this.#dice.between(1000, 4000));
    worker.failsAll = false;
  }

  async #removeVm(): Promise<void> {
    const live = this.#fleet.platform.vms.filter(
      ({ phase }) => phase === VmPhase.Live,
    );
    if (live.length < 6) return;
    const vm = this.#dice.pick(live);
    const worker = this.#fleet.workers.find(({ id }) => id === vm.id);
    if (worker === undefined) return;
    const listLagMs = this.#fleet.platform.faults.vmLagMs;
    const atMs = Date.now();
    this.#fleet.changeVms((other) =>
      other.id === vm.id ? { ...other, phase: VmPhase.Leaving } : other,
    );
    await pause(8000 + listLagMs);
    const removedMs = Date.now();
    this.#departures.push({ vm, atMs, removedMs, listLagMs });
    worker.restart();
    this.#fleet.changeVms((other) => (other.id === vm.id ? undefined : other));
    await pause(this.#dice.between(500, 2000));
    const { instance } = worker;
    const vms = [...this.#fleet.platform.vms, { ...vm, instance }];
    this.#fleet.platform.setVms(vms);
  }

  async #cutFromStore(role: Role): Promise<void> {
    const name = this.#pickRunning(role);
    if (name === undefined) return;
    const { cutOff } = this.#fleet.platform.faults;
    const endExemption = this.#beginExemption(name);
    cutOff.add(name);
    await pause(this.#dice.between(1500, 9000));
    cutOff.delete(name);
    endExemption();
  }

  /**
   * Cuts one scheduler off from the store while it still reaches its workers, and
   * cuts all other schedulers off from the workers.
   */
  async #isolateOwner(): Promise<void> {
    const name = this.#pickRunning(Role.Scheduler);
    if (name === undefined) return;
    const others = this.#fleet
      .members(Role.Scheduler)
      .filter((member) => member.name !== name);
    const { cutOff } = this.#fleet.platform.faults;
    const endExemption = this.#beginExemption(name);
    cutOff.add(name);
    const cut = others.map((member) => member.name);
    for (const worker of this.#fleet.workers) worker.setCutOff(cut);
    await pause(this.#dice.between(3000, 10_000));
    for (const worker of this.#fleet.workers) worker.setCutOff([]);
    cutOff.delete(name);
    endExemption();
  }

  async #stopAndRestart(role: Role): Promise<void> {
    const running = this.#fleet.running(role);
    if (running.length < 2) return;
    const name = this.#pickRunning(role);
    const member = this.#fleet
      .members(role)
      .find((candidate) => candidate.name === name);
    if (name === undefined || member === undefined) return;
    const callerAddress =
      role === Role.Gateway ? `${member.host}:${member.callerPort}` : "";
    this.#plannedStops.push({ member: name, callerAddress, atMs: Date.now() });
    const ended = this.#fleet.signal(name, "SIGTERM");
    // The load balancer notices at its next probe that the gateway is not ready.
    await pause(200);
    this.#drained.add(callerAddress);
    await ended;
    this.#fleet.startProcess(name);
    await pause(1000);
    this.#drained.delete(callerAddress);
  }

  async #restartAll(): Promise<void> {
    const names = [
      ...this.#fleet.running(Role.Gateway),
      ...this.#fleet.running(Role.Scheduler),
    ];
    const endExemption = this.#beginExemption("");
    await Promise.all(names.map((name) => this.#fleet.signal(name, "SIGKILL")));
    for (const name of names) this.#fleet.startProcess(name);
    await pause(2000);
    endExemption();
  }

  /** Reads the configuration version of every member until the run stops. */
  async #sampleVersions(): Promise<void> {
    const names = [Role.Gateway, Role.Scheduler].flatMap((role) =>
      this.#fleet.members(role).map(({ name }) => name),
    );
    while (!this.#stopped.signal.aborted) {
      await Promise.all(names.map((name) => this.#sampleVersion(name)));
      await pause(SAMPLE_INTERVAL_MS);
    }
  }

  async #sampleVersion(member: string): Promise<void> {
    try {
      const sentMs = Date.now();
      const dump = await this.#fleet.readAdminPath(member, "/dump");
      const { instance, configVersion } = dump as {
        instance: string;
        configVersion: number;
      };
      // A process that has just started knows no version yet.
      if (configVersion === 0) return;
      this.#observations.push({
        atMs: sentMs,
        member,
        instance,
        version: configVersion,
      });
    } catch {
      // The member is killed, frozen or stopping: there is nothing to record.
    }
  }

  async #runCallers(): Promise<void> {
    await Promise.all(
      Array.from({ length: CALLER_COUNT }, (_, index) =>
        this.#runCaller(index),
      ),
    );
  }

  async #runCaller(index: number): Promise<void> {
    const route = index % 2 === 0 ? "/findings/" : "/shop/";
    for (let round = 0; !this.#stopped.signal.aborted; round += 1) {
      const isPost = round % 4 === 3;
      const key = isPost && round % 8 === 3 ? `k-${index}-${round}` : "";
      const size = round % 11 === 0 ? 300_000 : 0;
      const plan = {
        method: isPost ? ("POST" as const) : ("GET" as const),
        path: `${route}${index}-${round}${size > 0 ? `?size=${size}` : ""}`,
        body: isPost ? `body ${round}` : "",
        key,
      };
      const gateway = this.#pickGateway(index + round);
      if (gateway !== undefined) {
        await this.caller.call({ ...plan, gateway });
        const other = this.#pickGateway(index + round + 1);
        if (key !== "" && other !== undefined) {
          // A caller in doubt repeats the key through another gateway.
          await this.caller.call({ ...plan, gateway: other });
        }
      }
      await pause(CALL_PAUSE_MS);
    }
  }

  #pickGateway(index: number): string | undefined {
    const addresses = this.#fleet
      .callerAddresses()
      .filter((address) => !this.#drained.has(address));
    return addresses[index % Math.max(1, addresses.length)];
  }

  #pickRunning(role: Role): string | undefined {
    const running = this.#fleet.running(role);
    return running.length === 0 ? undefined : this.#dice.pick(running);
  }

  /** Starts an exemption of a member, or of all for ""; returns its end. */
  #beginExemption(member: string): () => void {
    const fromMs = Date.now();
    const exemption = { member, fromMs, untilMs: Number.POSITIVE_INFINITY };
    this.#exemptions.push(exemption);
    return () => {
      exemption.untilMs = Date.now() + EXEMPTION_SLACK_MS;
    };
  }

  async #waitForEndpoints(): Promise<void> {
    const endMs = Date.now() + 10_000;
    while (Date.now() < endMs) {
      const gateway = this.#pickGateway(0);
      if (gateway === undefined) continue;
      const path = "/findings/ready";
      const plan = { gateway, method: "GET" as const, path, body: "", key: "" };
      const { end } = await this.caller.call(plan);
      if (end === "right") return;
      await pause(100);
    }
  }

  /** Waits, without faults, until all expected tasks are done or time is up. */
  async #settle(): Promise<void> {
    await this.#operators.stop();
    const endMs = Date.now() + SETTLE_TIMEOUT_MS;
    while (Date.now() < endMs) {
      const { workers, platform, expectedTasks: expected } = this.record();
      const { tasksLost } = checkTasks({ workers, platform, expected });
      if (tasksLost === 0) return;
      await pause(250);
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
