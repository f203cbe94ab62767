import { FaultCode } from "@laburnumtrack/core/fault";
import { LEADER_KEY, readLeadership } from "@laburnumtrack/jobs/job_rows";
import type { Leadership as LeadershipRow } from "@laburnumtrack/jobs/leadership_row";
import { type HeldLeadership, leadershipWrite } from "./progress_store";
import { Succession } from "./succession";
import { Term, type TermOptions, type TermStart } from "./term";
import { grantedLeaseMs } from "./worker_link";

/** Options of a candidate for leadership. */
export interface LeaderElectionOptions extends Omit<TermOptions, "succession"> {
  /** Name of this member. */
  readonly member: string;
  /** Identifies this start of the process. */
  readonly instance: string;
  /** Processing capacity of this VM in cores. */
  readonly capacity: number;
  /**
   * Capacity of the largest VM that may take over, in cores, as far as known; it
   * may have ended.
   */
  readonly largestCapacity?: () => number;
  /**
   * Share, from 0 to 1, of the longest jitter that this candidate adds to its
   * timeout, so that candidates differ.
   */
  readonly timeoutJitter: number;
  /**
   * Whether this process may lead: it has a configuration and keeps running.
   */
  readonly isEligible: () => boolean;
}

/** Interval at which the leadership row is read, in ms. */
const POLL_INTERVAL_MS = 200;
/** Time without a commit after which a leader is replaced, in ms. */
const LEADER_TIMEOUT_MS = 1000;
/** Longest jitter that a candidate adds to the timeout, in ms. */
const MAX_TIMEOUT_JITTER_MS = 300;
/** The timeout grows by this multiple of the table's last read latency. */
const TABLE_LATENCY_FACTOR = 3;

/** Margin for clocks of leaders, which may differ in speed by 5%. */
const CLOCK_FACTOR = 1.05;

/**
 * Counts of waiting jobs that may lack jobs stored longer ago are not given.
 * Callers expect counts of at most 2 s before.
 */
const PENDING_MAX_AGE_MS = 4000;

/** The leadership row as this process last read or wrote it. */
export interface LeaderView {
  readonly row: LeadershipRow;
  /**
   * Monotonic ms at which the read was sent; the current time while this process
   * leads.
   */
  readonly readMs: number;
}

/**
 * Elects the leading scheduler by way of the leadership row: follows the
 * current leader, and takes over when it releases the leadership or stops
 * committing.
 */
export class LeaderElection {
  readonly #options: LeaderElectionOptions;
  readonly #succession: Succession;
  #term: Term | undefined;
  #view: LeaderView | undefined;
  #revision = 0;
  /** Monotonic ms at which the current revision of the row was first read. */
  #changedMs: number;
  #tableLatencyMs = 0;

  constructor(options: LeaderElectionOptions) {
    const { leaderLeaseMs, leaseMs } = options;
    this.#options = {
      ...options,
      // Otherwise a leader that is cut off could outlast its workers' leases as it
      // sees them, while its successor renews them.
      leaderLeaseMs: Math.min(leaderLeaseMs, grantedLeaseMs(leaseMs)),
    };
    this.#succession = new Succession(options);
    this.#changedMs = options.clock.nowMs();
  }

  /** The term of this process, undefined while it does not lead. */
  get term(): Term | undefined {
    return this.#term;
  }

  /** The last known leadership; undefined before the first successful read. */
  get view(): LeaderView | undefined {
    if (this.#term === undefined) return this.#view;
    return { row: this.#term.row, readMs: this.#options.clock.nowMs() };
  }

  /**
   * Number of jobs of a queue that have not started, as the leader last stored
   * it, or as this process knows it while it leads: its commits may fail. Undefined
   * if that is too long ago.
   */
  countPending(queue: string): number | undefined {
    const known = this.#term?.describePending();
    const pending = known?.pending ?? this.#view?.row.pending;
    const ageMs = known?.pendingAgeMs ?? this.#pendingAgeMs();
    if (pending === undefined || ageMs > PENDING_MAX_AGE_MS) return undefined;
    return pending[queue] ?? 0;
  }

  /** Time in ms for which the last read counts may lack stored jobs. */
  #pendingAgeMs(): number {
    const view = this.#view;
    if (view === undefined) return 0;
    const unreadMs = this.#options.clock.nowMs() - view.readMs;
    return unreadMs + (view.row.pendingAgeMs ?? 0);
  }

  /** Follows and leads until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      try {
        await this.#follow(signal);
      } catch (error) {
        journal.error(
          "The election of the leader failed unexpectedly; it goes on.",
          { error: error instanceof Error ? error.stack : String(error) },
        );
      }
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /** Reads the leadership once, and leads if it is vacant. */
  async #follow(signal: AbortSignal): Promise<void> {
    const { isEligible } = this.#options;
    const isTableRead = await this.#readLeadership();
    if (!isTableRead || !isEligible() || signal.aborted) return;
    if (this.#isVacant()) {
      const start = await this.#acquire();
      if (start !== undefined) await this.#lead(start, signal);
    } else if (this.#view !== undefined) {
      await this.#succession.bid(this.#view.row);
    }
  }

  async #lead(start: TermStart, signal: AbortSignal): Promise<void> {
    const succession = this.#succession;
    this.#term = new Term({ ...this.#options, succession }, start);
    try {
      await this.#term.run(signal);
    } finally {
      const { row, lastCommitSentMs } = this.#term;
      this.#view = { row, readMs: lastCommitSentMs };
      this.#term = undefined;
      this.#changedMs = this.#options.clock.nowMs();
    }
  }

  /** Reads the leadership row; false when that fails. */
  async #readLeadership(): Promise<boolean> {
    const { clock, table } = this.#options;
    const sentMs = clock.nowMs();
    const read = await table.get([LEADER_KEY]);
    const nowMs = clock.nowMs();
    if (read.err) {
      // Without the table, a leader that commits looks like one that does not.
      this.#changedMs = nowMs;
      return false;
    }
    this.#tableLatencyMs = nowMs - sentMs;
    const [found] = read.val;
    if (found === undefined) {
      this.#revision = 0;
      return true;
    }
    if (found.revision === this.#revision) return true;
    const row = readLeadership(found);
    if (row.err) {
      this.#options.journal.error(
        "The leadership row cannot be decoded; this scheduler does not compete for leadership.",
        {
          cause: row.val.message,
        },
      );
      return false;
    }
    this.#revision = found.revision;
    this.#changedMs = nowMs;
    this.#view = { row: row.val, readMs: sentMs };
    return true;
  }

  /** Whether the leadership may be acquired. */
  #isVacant(): boolean {
    if (this.#revision === 0 || this.#isOwnFormerInstance()) return true;
    const { clock, timeoutJitter } = this.#options;
    const unchangedMs = clock.nowMs() - this.#changedMs;
    const extraMs = this.#succession.extraTimeoutMs(this.#view?.row);
    if (this.#view?.row.isReleased) return unchangedMs >= extraMs;
    const timeoutMs =
      LEADER_TIMEOUT_MS +
      timeoutJitter * MAX_TIMEOUT_JITTER_MS +
      TABLE_LATENCY_FACTOR * this.#tableLatencyMs;
    return unchangedMs > timeoutMs + extraMs;
  }

  /**
   * Whether an earlier start of this process holds the leadership; it has
   * ended.
   */
  #isOwnFormerInstance(): boolean {
    const { member, instance } = this.#options;
    const row = this.#view?.row;
    return row?.holder === member && row.instance !== instance;
  }

  /**
   * Tries to acquire the leadership; undefined unless that surely succeeded.
   */
  async #acquire(): Promise<TermStart | undefined> {
    const { clock, table, member, instance, capacity, journal, leaseMs } =
      this.#options;
    const former = this.#revision === 0 ? undefined : this.#view?.row;
    const formerLeaseMs =
      former === undefined ? 0 : (former.leaseMs ?? leaseMs);
    const sentMs = clock.nowMs();
    const formerRightMs = this.#formerRightMs(former, sentMs);
    const epoch = (former?.epoch ?? 0) + 1;
    const row: LeadershipRow = {
      holder: member,
      instance,
      capacity,
      successor: "",
      epoch,
      placementsSince: former?.placementsSince ?? epoch,
      sequence: (former?.sequence ?? 0) + 1,
      isReleased: false,
      formerRightMs,
      leaseMs: Math.max(formerLeaseMs, grantedLeaseMs(leaseMs)),
      silent: former?.silent ?? {},
      silentRuns: former?.silentRuns ?? {},
      pending: former?.pending ?? {},
      pendingAgeMs: Math.round(this.#pendingAgeMs()),
    };
    const done = await table.commit({
      checks: [{ key: LEADER_KEY, revision: this.#revision }],
      writes: [leadershipWrite(row)],
    });
    let held: HeldLeadership | undefined;
    if (done.ok) held = { row, revision: done.val.revision };
    else if (done.val.code === FaultCode.OutcomeUnknown) {
      held = await this.#verifyAcquired(row);
    }
    if (held === undefined) return undefined;
    journal.info("This scheduler acquired the leadership.", {
      epoch: row.epoch,
      former: former?.holder,
      silentMs: Math.round(sentMs - this.#changedMs),
    });
    return {
      held,
      acquireSentMs: sentMs,
      acquiredMs: clock.nowMs(),
      formerRightMs,
      formerLeaseMs,
    };
  }

  /**
   * Time in ms for which leaders so far may still send orders. Their rights
   * count from their commits, which preceded the first read of the last one.
   */
  #formerRightMs(former: LeadershipRow | undefined, nowMs: number): number {
    const rightMs = this.#rightAtCommitMs(former);
    const unchangedMs = nowMs - this.#changedMs;
    return Math.max(0, Math.ceil(rightMs * CLOCK_FACTOR - unchangedMs));
  }

  /** Time in ms for which leaders could send orders at the last commit. */
  #rightAtCommitMs(former: LeadershipRow | undefined): number {
    if (former === undefined) return 0;
    const hasStopped = former.isReleased || this.#isOwnFormerInstance();
    // A leader that has stopped may have taken over from one that has not.
    return hasStopped
      ? (former.formerRightMs ?? 0)
      : this.#options.leaderLeaseMs;
  }

  /** Finds out whether an acquiring commit without an answer took effect. */
  async #verifyAcquired(
    row: LeadershipRow,
  ): Promise<HeldLeadership | undefined> {
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
