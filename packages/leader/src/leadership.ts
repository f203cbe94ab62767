import { FaultCode } from "@laburnumtrack/core/fault";
import { LEADER_KEY, readLeadership } from "@laburnumtrack/jobs/job_rows";
import type { Leadership as LeadershipRow } from "@laburnumtrack/jobs/leadership_row";
import { type HeldLeadership, toWrite } from "./progress_log";
import { Succession } from "./succession";
import { Term, type TermOptions, type TermStart } from "./term";

/** How a candidate is set up. */
export interface LeadershipOptions extends Omit<TermOptions, "succession"> {
  readonly member: string;
  readonly instance: string;
  /** Processing capacity of this VM in cores. */
  readonly capacity: number;
  /** A part from 0 to 1 that spreads the candidates' patience. */
  readonly spread: number;
  /** Whether this process may lead: it has a configuration and stays. */
  readonly isFit: () => boolean;
}

/** Pause between two looks at the leader's row, in ms. */
const POLL_MS = 200;
/** Silence of the leader after which it is replaced, in ms. */
const PATIENCE_MS = 1000;
/** Candidates differ in patience by up to this, in ms. */
const SPREAD_MS = 300;
/** Patience grows with the time that the table takes to answer. */
const SLOW_TABLE_FACTOR = 3;

/** The leader's row as this process last read or wrote it. */
export interface LeaderView {
  readonly row: LeadershipRow;
  /** Monotonic ms at which that was asked for. */
  readonly readMs: number;
}

/** Follows the leading scheduler, and replaces it when it is silent. */
export class Leadership {
  readonly #options: LeadershipOptions;
  readonly #succession: Succession;
  #term: Term | undefined;
  #view: LeaderView | undefined;
  #revision = 0;
  /** Monotonic ms at which the row was first seen as it is. */
  #changedMs: number;
  #answerMs = 0;

  constructor(options: LeadershipOptions) {
    this.#options = options;
    this.#succession = new Succession(options);
    this.#changedMs = options.clock.nowMs();
  }

  /** The term of this process; undefined while it does not lead. */
  get term(): Term | undefined {
    return this.#term;
  }

  /** What is known of the leader; undefined before the first answer. */
  get view(): LeaderView | undefined {
    if (this.#term === undefined) return this.#view;
    return { row: this.#term.row, readMs: this.#options.clock.nowMs() };
  }

  /** Follows and leads until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isFit } = this.#options;
    while (!signal.aborted) {
      const isRead = await this.#look();
      if (isRead && isFit() && this.#isVacant() && !signal.aborted) {
        const start = await this.#acquire();
        if (start !== undefined) await this.#lead(start, signal);
      } else if (isRead && isFit() && this.#view !== undefined) {
        await this.#succession.bid(this.#view.row);
      }
      await clock.sleep(POLL_MS, signal);
    }
  }

  async #lead(start: TermStart, signal: AbortSignal): Promise<void> {
    const succession = this.#succession;
    this.#term = new Term({ ...this.#options, succession }, start);
    await this.#term.run(signal);
    this.#view = { row: this.#term.row, readMs: this.#options.clock.nowMs() };
    this.#term = undefined;
    this.#changedMs = this.#options.clock.nowMs();
  }

  /** Reads the leader's row; false when the table does not answer. */
  async #look(): Promise<boolean> {
    const { clock, table } = this.#options;
    const sentMs = clock.nowMs();
    const read = await table.get([LEADER_KEY]);
    const nowMs = clock.nowMs();
    if (read.err) {
      // Nothing is known of the leader while the table is away.
      this.#changedMs = nowMs;
      return false;
    }
    this.#answerMs = nowMs - sentMs;
    const [found] = read.val;
    if (found === undefined) {
      this.#revision = 0;
      return true;
    }
    if (found.revision === this.#revision) return true;
    const row = readLeadership(found);
    if (row.err) {
      this.#options.journal.error("The leader's row cannot be read.", {
        cause: row.val.message,
      });
      return false;
    }
    this.#revision = found.revision;
    this.#changedMs = nowMs;
    this.#view = { row: row.val, readMs: sentMs };
    return true;
  }

  #isVacant(): boolean {
    if (this.#revision === 0 || this.#isOwnFormerLife()) return true;
    const { clock, spread } = this.#options;
    const silentMs = clock.nowMs() - this.#changedMs;
    const yieldMs = this.#succession.patienceMs(this.#view?.row);
    if (this.#view?.row.isReleased) return silentMs >= yieldMs;
    const patienceMs =
      PATIENCE_MS + spread * SPREAD_MS + SLOW_TABLE_FACTOR * this.#answerMs;
    return silentMs > patienceMs + yieldMs;
  }

  /** An earlier life of this process leads: it has ended. */
  #isOwnFormerLife(): boolean {
    const { member, instance } = this.#options;
    const row = this.#view?.row;
    return row?.holder === member && row.instance !== instance;
  }

  async #acquire(): Promise<TermStart | undefined> {
    const { clock, table, member, instance, capacity, journal } = this.#options;
    const former = this.#revision === 0 ? undefined : this.#view?.row;
    const row: LeadershipRow = {
      holder: member,
      instance,
      capacity,
      successor: "",
      epoch: (former?.epoch ?? 0) + 1,
      sequence: (former?.sequence ?? 0) + 1,
      isReleased: false,
      silent: former?.silent ?? {},
      pending: former?.pending ?? {},
    };
    const sentMs = clock.nowMs();
    const done = await table.commit({
      checks: [{ key: LEADER_KEY, revision: this.#revision }],
      writes: [toWrite(row)],
    });
    let held: HeldLeadership | undefined;
    if (done.ok) held = { row, revision: done.val.revision };
    else if (done.val.code === FaultCode.OutcomeUnknown) {
      held = await this.#findOwn(row);
    }
    if (held === undefined) return undefined;
    journal.info("Leadership taken.", {
      epoch: row.epoch,
      former: former?.holder,
      silentMs: Math.round(sentMs - this.#changedMs),
    });
    const wasReleased =
      former === undefined || former.isReleased || this.#isOwnFormerLife();
    return { held, heldMs: sentMs, takenMs: clock.nowMs(), wasReleased };
  }

  /** Finds out whether a commit without an answer took effect. */
  async #findOwn(row: LeadershipRow): Promise<HeldLeadership | undefined> {
    const read = await this.#options.table.get([LEADER_KEY]);
    if (read.err) return undefined;
    const [found] = read.val;
    if (found === undefined) return undefined;
    const current = readLeadership(found);
    if (current.err) return undefined;
    const { instance, epoch } = current.val;
    const isOwn = instance === row.instance && epoch === row.epoch;
    return isOwn ? { row, revision: found.revision } : undefined;
  }
}
