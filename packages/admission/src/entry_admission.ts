import type { Clock } from "@laburnumtrack/core/clock";
import type { Job } from "@laburnumtrack/jobs/job";
import { estimateJobBytes } from "@laburnumtrack/jobs/job_size";
import type { QueueSettings } from "@laburnumtrack/jobs/queue_config";
import type { Journal } from "@laburnumtrack/process/journal";
import type { Metrics } from "@laburnumtrack/process/metrics";
import { type AdmissionDecision, decideAdmission } from "./admission";
import { AdmissionLedger } from "./admission_ledger";
import { rankOfPriority, workOfJob } from "./job_work";
import { type LoadDigest, readLoadDigest } from "./load_digest";

/** The load that the leader stored last, as read by this process. */
export interface StoredLoad {
  /** Unchecked; undefined if the leader stored none. */
  readonly load: unknown;
  /** Monotonic ms at which the read was sent. */
  readonly readMs: number;
}

/** Options of {@linkcode EntryAdmission}. */
export interface EntryAdmissionOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Undefined before the first read. */
  readonly stored: () => StoredLoad | undefined;
  /** Number of entries with this one. */
  readonly countEntries: () => number;
  /** Memory that jobs may occupy in a leader, as long as it stores none. */
  readonly limitBytes: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** A decision; an accepted job counts until it is given back. */
export interface Admission {
  readonly decision: AdmissionDecision;
  /** Called if the accepted job was not stored. */
  readonly giveBack: () => void;
}

/** Time from the answer to a caller until the leader's digest has the job, in ms. */
const INTAKE_LAG_MS = 500;
/** Interval between two log lines about refusals, in ms. */
const LOG_INTERVAL_MS = 2000;

/** Decides for this entry which jobs are accepted. */
export class EntryAdmission {
  readonly #options: EntryAdmissionOptions;
  readonly #ledger: AdmissionLedger;
  #lastLoad: unknown;
  #digest: LoadDigest | undefined;
  #isUnreadable = false;
  /** Monotonic ms at which the digest was measured. */
  #measuredMs = Number.NEGATIVE_INFINITY;
  #loggedMs = Number.NEGATIVE_INFINITY;
  #refusals = 0;

  constructor(options: EntryAdmissionOptions) {
    this.#options = options;
    this.#ledger = new AdmissionLedger(options.clock);
    options.metrics.gauge("load_digest_age_ms", () =>
      Math.min(options.clock.nowMs() - this.#measuredMs, 1e9),
    );
  }

  /** Decides about a job, and counts it as accepted if it is. */
  decide(job: Job, queue: QueueSettings): Admission {
    const { clock, countEntries, limitBytes, random } = this.#options;
    this.#update();
    const { pool } = queue;
    const priority = rankOfPriority(queue.priority);
    const accepted = this.#ledger.sumSince(
      this.#measuredMs - INTAKE_LAG_MS,
      pool,
      priority,
    );
    const ageMs = clock.nowMs() - this.#measuredMs;
    const decision = decideAdmission(this.#digest, job, queue, ageMs, {
      entries: countEntries(),
      acceptedMilliS: accepted.workMilliS,
      acceptedBytes: accepted.bytes,
      limitBytes,
      random: random(),
      jitter: random(),
    });
    if (!decision.isAccepted) {
      this.#onRefused(job, decision);
      return { decision, giveBack: () => {} };
    }
    const giveBack = this.#ledger.add({
      pool,
      priority,
      workMilliS: workOfJob(job),
      bytes: estimateJobBytes(job),
    });
    return { decision, giveBack };
  }

  /** Takes over the digest that was read last; an older one stays otherwise. */
  #update(): void {
    const stored = this.#options.stored();
    if (stored === undefined || stored.load === this.#lastLoad) return;
    this.#lastLoad = stored.load;
    const digest = readLoadDigest(stored.load);
    const isUnreadable = digest === undefined && stored.load !== undefined;
    if (isUnreadable && !this.#isUnreadable) {
      this.#options.journal.warn(
        "The stored load cannot be decoded; jobs are accepted without it.",
      );
    }
    this.#isUnreadable = isUnreadable;
    if (digest === undefined) return;
    this.#digest = digest;
    this.#measuredMs = stored.readMs - Math.max(0, digest.ageMs);
  }

  #onRefused(
    job: Job,
    { reason, retryAfterS }: AdmissionDecision & { readonly isAccepted: false },
  ): void {
    const { clock, journal, metrics } = this.#options;
    metrics.count(
      `admission_refusals{queue="${job.queue}",reason="${reason}"}`,
    );
    this.#refusals += 1;
    if (clock.nowMs() - this.#loggedMs < LOG_INTERVAL_MS) return;
    journal.info("Jobs are refused because of the load.", {
      job: job.id,
      queue: job.queue,
      reason,
      retryAfterS,
      refusals: this.#refusals,
    });
    this.#loggedMs = clock.nowMs();
    this.#refusals = 0;
  }
}
