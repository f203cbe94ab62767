import type { Dice } from "@laburnumtrack/standins/dice";
import { TableTrouble } from "@laburnumtrack/standins/feed_table_standin";
import { LinkTrouble } from "./loopback_proxy";
import type { SoakEntry, SoakWorld } from "./soak_world";

/** What can go wrong. */
export enum SoakTrouble {
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

/** Bounds of the length of a trouble that lasts, in ms. */
const LEAST_MS = 300;
const MOST_MS = 5000;
/** Bounds of the pause between two troubles, in ms: they may overlap. */
const LEAST_PAUSE_MS = 100;
const MOST_PAUSE_MS = 1500;
/** Probability that a trouble of an entry meets the leader. */
const LEADER_PART = 0.5;

const LINK_TROUBLES = Object.values(LinkTrouble).filter(
  (trouble) => trouble !== LinkTrouble.None,
);
const TABLE_TROUBLES = Object.values(TableTrouble).filter(
  (trouble) => trouble !== TableTrouble.None,
);
const TROUBLES = Object.values(SoakTrouble);

/** Brings troubles about, one after the other, as a seed says. */
export class TroubleMaker {
  /** What was done, in order. */
  readonly done: string[] = [];
  readonly #world: SoakWorld;
  readonly #dice: Dice;
  readonly #open: Promise<void>[] = [];

  constructor(world: SoakWorld, dice: Dice) {
    this.#world = world;
    this.#dice = dice;
  }

  /** Makes trouble until `signal` is aborted, then undoes what lasts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#world;
    while (!signal.aborted) {
      await this.#bring(this.#dice.pick(TROUBLES));
      const pauseMs = this.#dice.between(LEAST_PAUSE_MS, MOST_PAUSE_MS);
      await clock.sleep(pauseMs, signal);
    }
    await Promise.all(this.#open);
  }

  async #bring(trouble: SoakTrouble): Promise<void> {
    const { table, fleet, workerLinks, entries } = this.#world;
    const lastMs = this.#dice.between(LEAST_MS, MOST_MS);
    const entry = await this.#pickEntry();
    const worker = this.#dice.pick([...workerLinks.keys()]);
    const link = this.#dice.pick(LINK_TROUBLES);
    this.done.push(`${trouble} ${entry.name} ${worker} ${link} ${lastMs} ms`);
    switch (trouble) {
      case SoakTrouble.KillEntry:
        this.#world.signal(entry, "SIGKILL");
        break;
      case SoakTrouble.KillAll:
        for (const one of entries) this.#world.signal(one, "SIGKILL");
        break;
      case SoakTrouble.StopEntry:
        this.#world.signal(entry, "SIGTERM");
        break;
      case SoakTrouble.ReloadEntry:
        this.#world.signal(entry, "SIGHUP");
        break;
      case SoakTrouble.PauseEntry:
        this.#world.signal(entry, "SIGSTOP");
        this.#undo(lastMs, () => this.#world.signal(entry, "SIGCONT"));
        break;
      case SoakTrouble.TableLink:
        entry.tableLink.harm(link);
        this.#undo(lastMs, () => entry.tableLink.harm(LinkTrouble.None));
        break;
      case SoakTrouble.Table:
        table.remember();
        table.trouble = this.#dice.pick(TABLE_TROUBLES);
        this.#undo(lastMs, () => {
          table.trouble = TableTrouble.None;
        });
        break;
      case SoakTrouble.History:
        table.dropHistory();
        break;
      case SoakTrouble.WorkerLink:
        workerLinks.get(worker)?.harm(link);
        this.#undo(lastMs, () =>
          workerLinks.get(worker)?.harm(LinkTrouble.None),
        );
        break;
      case SoakTrouble.WorkerRestart:
        fleet.restart(worker);
        break;
      case SoakTrouble.WorkerLate:
        fleet.late.add(worker);
        this.#undo(lastMs, () => fleet.late.delete(worker));
        break;
      case SoakTrouble.WorkerMute:
        fleet.mute.add(worker);
        this.#undo(lastMs, () => fleet.mute.delete(worker));
        break;
      case SoakTrouble.Config:
        if (table.trouble === TableTrouble.None)
          await this.#world.writeConfig();
        break;
    }
  }

  #undo(afterMs: number, undo: () => unknown): void {
    this.#open.push(
      this.#world.clock.sleep(afterMs).then(() => {
        undo();
      }),
    );
  }

  async #pickEntry(): Promise<SoakEntry> {
    const { entries, table } = this.#world;
    const other = this.#dice.pick(entries);
    if (!this.#dice.isHit(LEADER_PART)) return other;
    if (table.trouble !== TableTrouble.None) return other;
    return (await this.#world.findLeader()) ?? other;
  }
}
