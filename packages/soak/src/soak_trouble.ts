import type { SeededRandom } from "@laburnumtrack/standins/dice";
import { TableFault } from "@laburnumtrack/standins/feed_table_standin";
import { LinkFault } from "./loopback_proxy";
import type { SoakEntry, SoakWorld } from "./soak_world";

/** Kinds of injected faults. */
export enum SoakFault {
  KillEntry = "kill_entry",
  KillAll = "kill_all",
  PauseEntry = "pause_entry",
  StopEntry = "stop_entry",
  ReloadEntry = "reload_entry",
  TableLink = "table_link",
  Table = "table",
  History = "history",
  WorkerLink = "worker_link",
  WorkerRestart = "worker_restart",
  WorkerLate = "worker_late",
  WorkerMute = "worker_mute",
  Config = "config",
}

/** Bounds of the duration of a fault that lasts, in ms. */
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 5000;
/**
 * Bounds of the pause between the starts of two faults, in ms; shorter than the
 * longest fault, so that faults overlap.
 */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1500;
/** Probability that a fault of an entry is aimed at the leader. */
const LEADER_PROBABILITY = 0.5;

const LINK_FAULTS = Object.values(LinkFault).filter(
  (fault) => fault !== LinkFault.None,
);
const TABLE_FAULTS = Object.values(TableFault).filter(
  (fault) => fault !== TableFault.None,
);
const SOAK_FAULTS = Object.values(SoakFault);

/** Injects a sequence of faults that is derived from a seed. */
export class FaultInjector {
  /** Descriptions of the injected faults, in order. */
  readonly injected: string[] = [];
  readonly #world: SoakWorld;
  readonly #dice: SeededRandom;
  readonly #pendingUndos: Promise<void>[] = [];

  constructor(world: SoakWorld, dice: SeededRandom) {
    this.#world = world;
    this.#dice = dice;
  }

  /** Injects faults until `signal` is aborted, then waits until all are undone. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#world;
    while (!signal.aborted) {
      await this.#inject(this.#dice.pick(SOAK_FAULTS));
      const pauseMs = this.#dice.between(MIN_PAUSE_MS, MAX_PAUSE_MS);
      await clock.sleep(pauseMs, signal);
    }
    await Promise.all(this.#pendingUndos);
  }

  async #inject(fault: SoakFault): Promise<void> {
    const { table, fleet, workerLinks, entries } = this.#world;
    const durationMs = this.#dice.between(MIN_FAULT_MS, MAX_FAULT_MS);
    const entry = await this.#pickEntry();
    const worker = this.#dice.pick([...workerLinks.keys()]);
    const link = this.#dice.pick(LINK_FAULTS);
    this.injected.push(
      `${fault} ${entry.name} ${worker} ${link} ${durationMs} ms`,
    );
    switch (fault) {
      case SoakFault.KillEntry:
        this.#world.signal(entry, "SIGKILL");
        break;
      case SoakFault.KillAll:
        for (const each of entries) this.#world.signal(each, "SIGKILL");
        break;
      case SoakFault.StopEntry:
        this.#world.signal(entry, "SIGTERM");
        break;
      case SoakFault.ReloadEntry:
        this.#world.signal(entry, "SIGHUP");
        break;
      case SoakFault.PauseEntry:
        this.#world.signal(entry, "SIGSTOP");
        this.#scheduleUndo(durationMs, () =>
          this.#world.signal(entry, "SIGCONT"),
        );
        break;
      case SoakFault.TableLink:
        entry.tableLink.injectFault(link);
        this.#scheduleUndo(durationMs, () =>
          entry.tableLink.injectFault(LinkFault.None),
        );
        break;
      case SoakFault.Table:
        table.saveStaleSnapshot();
        table.fault = this.#dice.pick(TABLE_FAULTS);
        if (table.fault === TableFault.Stale) {
          const fromMs = this.#world.clock.nowMs();
          const toMs = fromMs + durationMs;
          this.#world.outdatedReads.push({ fromMs, toMs });
        }
        this.#scheduleUndo(durationMs, () => {
          table.fault = TableFault.None;
        });
        break;
      case SoakFault.History:
        table.dropHistory();
        break;
      case SoakFault.WorkerLink:
        workerLinks.get(worker)?.injectFault(link);
        this.#scheduleUndo(durationMs, () =>
          workerLinks.get(worker)?.injectFault(LinkFault.None),
        );
        break;
      case SoakFault.WorkerRestart:
        fleet.restart(worker);
        break;
      case SoakFault.WorkerLate:
        fleet.delayed.add(worker);
        this.#scheduleUndo(durationMs, () => fleet.delayed.delete(worker));
        break;
      case SoakFault.WorkerMute:
        fleet.answersLost.add(worker);
        this.#scheduleUndo(durationMs, () => fleet.answersLost.delete(worker));
        break;
      case SoakFault.Config:
        if (table.fault === TableFault.None) this.#world.writeConfig();
        break;
    }
  }

  #scheduleUndo(afterMs: number, undo: () => unknown): void {
    this.#pendingUndos.push(
      this.#world.clock.sleep(afterMs).then(() => {
        undo();
      }),
    );
  }

  async #pickEntry(): Promise<SoakEntry> {
    const { entries, table } = this.#world;
    const candidate = this.#dice.pick(entries);
    if (!this.#dice.chance(LEADER_PROBABILITY)) return candidate;
    if (table.fault !== TableFault.None) return candidate;
    return (await this.#world.findLeader()) ?? candidate;
  }
}
