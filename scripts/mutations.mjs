// Takes one mechanism out at a time and shows which tests notice. The sources
// stay as they are: the change is made while the tests are bundled.
import { spawnSync } from "node:child_process";
import { readFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";
import { BUNDLE } from "./bundle.mjs";

const OUT = "dist/mutations";
const LEADER_CASES = "packages/faults/src/leader_cases_test.ts";
const TAKEOVER_CASES = "packages/faults/src/takeover_cases_test.ts";
const RELAY_CASES = "packages/relay/src/relay_test.ts";
const WORKER_LOSS_CASES = "packages/faults/src/worker_loss_cases_test.ts";
const CRASH_CASES = "packages/faults/src/crash_cases_test.ts";
const CRASH_LOSSES = "packages/jobs/src/crash_losses_test.ts";
const WORKER_ID_CASES = "packages/faults/src/worker_id_cases_test.ts";
const REGISTRY_CASES = "platform/src/platform_registry_test.ts";
const TABLE_CASES = "platform/src/platform_table_test.ts";
const EVACUATION_CASES = "packages/faults/src/evacuation_cases_test.ts";
const KNOWLEDGE_CASES = "packages/faults/src/takeover_knowledge_test.ts";
const SUCCESSION_CASES = "packages/faults/src/succession_cases_test.ts";

const REPORT_CASES = "packages/faults/src/report_cases_test.ts";
const FAILOVER_CASES = "packages/faults/src/failover_loss_test.ts";

const CONFIG_LINK_CASES = "packages/soak/src/config_link_cases_test.ts";
const CONFIG_EXCHANGE_CASES = "packages/config/src/config_exchange_test.ts";
const PENDING_CASES = "packages/faults/src/pending_cases_test.ts";

const UNSTORED_ENDS = "packages/faults/src/unstored_ends_test.ts";
const PROBE_CASES = "packages/faults/src/probe_cases_test.ts";
const STATE_BATCHES = "packages/leader/src/state_batches_test.ts";
const REJECTED_ROWS = "packages/leader/src/rejected_rows_test.ts";
const INTERFERENCE = "packages/jobs/src/interference_test.ts";
const LATE_START_CASES = "packages/faults/src/late_start_cases_test.ts";
const BOARD_CASES = "packages/jobs/src/job_board_test.ts";
const EARLY_CANCEL_CASES = "packages/faults/src/early_cancel_cases_test.ts";
const CALLER_CASES = "platform/src/caller_server_test.ts";

/** What is taken out: in `file`, `from` becomes `to`. */
const MUTATIONS = [
  {
    name: "late starts: a run whose start may still be carried out is kept",
    file: "packages/jobs/src/job_board.ts",
    from: "if (!this.lateStarts.has(worker.id, start)) this.#remove(attempt);",
    to: "this.#remove(attempt);",
    test: BOARD_CASES,
  },
  {
    name: "late starts: each incarnation of a worker is told to refuse them",
    file: "packages/jobs/src/late_starts.ts",
    from: "start.refusingBornMs === bornMs",
    to: "start.refusingBornMs !== 0",
    test: LATE_START_CASES,
  },
  {
    name: "late starts: a stop answered by a former incarnation does not count",
    file: "packages/jobs/src/job_board.ts",
    from: "this.lateStarts.onNewIncarnation(worker.id);",
    to: "",
    test: BOARD_CASES,
  },
  {
    name: "late starts: one of two runs of a task is stopped",
    file: "packages/jobs/src/job_board.ts",
    from: "this.#stopDuplicates(task);",
    to: "",
    test: BOARD_CASES,
  },
  {
    name: "job paths: the chains of a job's steps are calculated once",
    file: "packages/jobs/src/job.ts",
    from: "if (known !== undefined) return known;",
    to: "",
    test: "packages/jobs/src/job_paths_test.ts",
  },
  {
    name: "cancellation: an id without a job is closed",
    file: "packages/desk/src/job_service.ts",
    from: "const key = jobKey(id);",
    to: "if (!isStored) return Err(new Fault(FaultCode.NotFound, id));\n      const key = jobKey(id);",
    test: EARLY_CANCEL_CASES,
  },
  {
    name: "cancellation: a job of a removed queue is cancelled by its id",
    file: "platform/src/caller_server.ts",
    from: 'request.method !== "DELETE" || id === undefined',
    to: "id !== undefined || id === undefined",
    test: CALLER_CASES,
  },
  {
    name: "submission: a job that no row can hold is refused at once",
    file: "packages/desk/src/job_service.ts",
    from: "bytes > TABLE_ROW_LIMIT_BYTES;",
    to: "bytes < 0;",
    test: "packages/desk/src/job_service_test.ts",
  },
  {
    name: "progress: ends of jobs that are not stored are not acknowledged",
    file: "packages/leader/src/progress_store.ts",
    from: "worker.storableEndNumber(batch.setAside)",
    to: "worker.processedEndNumber",
    test: UNSTORED_ENDS,
  },
  {
    name: "progress: a job that cannot be stored does not hold up all ends",
    file: "packages/jobs/src/worker_record.ts",
    from: "const least = this.lastEndNumber - MAX_UNSTORED_ENDS;",
    to: "const least = 0;",
    test: UNSTORED_ENDS,
  },
  {
    name: "progress: a change during the retry of a rejected state is stored",
    file: "packages/leader/src/state_batches.ts",
    from: "const isRetried = this.#committing.has(id);",
    to: "const isRetried = false;",
    test: STATE_BATCHES,
  },
  {
    name: "progress: a job is set aside only when it is rejected twice",
    file: "packages/leader/src/state_batches.ts",
    from: "this.#suspect.isLikely = true;",
    to: "this.#putAside(this.#suspect.record, 0);\n      this.#suspect = undefined;",
    test: STATE_BATCHES,
  },
  {
    name: "progress: rows beside states are not blamed on a job",
    file: "packages/leader/src/progress_store.ts",
    from: "if (groups.length > 0) {",
    to: "if (groups.length < 0) {",
    test: REJECTED_ROWS,
  },
  {
    name: "progress: groups of rows are tried one by one",
    file: "packages/leader/src/progress_store.ts",
    from: "this.#groups.isAllowed(group)",
    to: "true",
    test: REJECTED_ROWS,
  },
  {
    name: "stored rows: what is learnt fits into a row",
    file: "packages/jobs/src/serving_image.ts",
    from: "if (bytes > maxBytes) break;",
    to: "",
    test: INTERFERENCE,
  },
  {
    name: "stored rows: images are forgotten",
    file: "packages/jobs/src/interference_model.ts",
    from: "this.#images.size > MAX_IMAGES",
    to: "this.#images.size < 0",
    test: INTERFERENCE,
  },
  {
    name: "stored rows: runs on workers are limited in bytes",
    file: "packages/jobs/src/stored_runs.ts",
    from: "bytes + size > MAX_ROW_BYTES ||",
    to: "",
    test: "packages/jobs/src/stored_runs_test.ts",
  },
  {
    name: "stored rows: a roster without one of its rows is not read",
    file: "packages/leader/src/stored_roster.ts",
    from: "if (read.err) return read;",
    to: "if (read.err) continue;",
    test: "packages/leader/src/stored_roster_test.ts",
  },
  {
    name: "stored rows: moves stay within the rows of a commit",
    file: "packages/leader/src/job_history.ts",
    from: "if (writes.length + ROWS_PER_MOVE + job.parts > maxRows) continue;",
    to: "",
    test: "packages/leader/src/job_history_test.ts",
  },
  {
    name: "probes: what was at work before is no probe",
    file: "packages/jobs/src/worker_record.ts",
    from: "sentMs >= this.probedFromMs;",
    to: "sentMs >= 0;",
    also: {
      file: "packages/jobs/src/worker_record.ts",
      from: "nowMs - attempt.sentMs < PROBE_MS &&",
      to: "",
    },
    test: PROBE_CASES,
  },
  {
    name: "probes: one at a time within a planning round",
    file: "packages/jobs/src/worker_fit.ts",
    from: "if (worker.isProbeOpen(nowMs, stepRun)) return undefined;",
    to: "",
    test: PROBE_CASES,
  },
  {
    name: "probes: failures of a former incarnation are forgotten",
    file: "packages/leader/src/run_monitor.ts",
    from: "this.#health.forget(worker.id);\n    worker.probedFromMs = undefined;",
    to: "",
    test: PROBE_CASES,
  },
  {
    name: "config: answers may take as long as they keep arriving",
    file: "packages/http_ports/src/http_exchange.ts",
    from: "stallMs !== undefined && this.#hasProgressed()",
    to: "stallMs === -1",
    test: CONFIG_LINK_CASES,
  },
  {
    name: "config: changes larger than a snapshot are not read",
    file: "packages/process/src/row_follower.ts",
    from: "if (!this.#options.preferSnapshots)",
    to: "if (this.#snapshotBytes >= 0)",
    test: CONFIG_LINK_CASES,
  },
  {
    name: "config: requests by an outdated configuration are refused",
    file: "platform/src/caller_server.ts",
    from: "current.version > 0 && !isConfigCurrent()",
    to: "current.version < 0 && !isConfigCurrent()",
    test: "platform/src/caller_server_test.ts",
  },
  {
    name: "config: other processes are asked",
    file: "packages/config/src/config_exchange.ts",
    from: "for (const address of this.#choose()) void this.#ask(address);",
    to: "this.#choose();",
    test: CONFIG_EXCHANGE_CASES,
  },
  {
    name: "config: the time for which another process has not confirmed it counts",
    file: "packages/config/src/config_exchange.ts",
    from: "sentMs - age;",
    to: "sentMs;",
    test: CONFIG_EXCHANGE_CASES,
  },
  {
    name: "config: an older version of another process confirms nothing",
    file: "packages/config/src/queue_config_watcher.ts",
    from: "if (version !== this.#current.version) return;",
    to: "",
    test: CONFIG_EXCHANGE_CASES,
  },
  {
    name: "config: an outdated snapshot confirms nothing",
    file: "packages/process/src/row_follower.ts",
    from: "if (read.val.revision < this.#minRevision) return false;",
    to: "",
    test: CONFIG_EXCHANGE_CASES,
  },
  {
    name: "table: commits have connections of their own, few partitions are read at a time",
    file: "platform/src/platform_table.ts",
    from: "const CONCURRENT_PARTS = 4;",
    to: "const CONCURRENT_PARTS = 16;",
    also: {
      file: "platform/src/platform_table.ts",
      from: "const answer = await this.#clients.calls.call({",
      to: "const answer = await this.#clients.reads.call({",
    },
    test: "packages/soak/src/table_link_cases_test.ts",
  },
  {
    name: "leader: counts of waiting jobs have a longest age",
    file: "packages/leader/src/leader_election.ts",
    from: "const PENDING_MAX_AGE_MS = 4000;",
    to: "const PENDING_MAX_AGE_MS = 10_000;",
    test: PENDING_CASES,
  },
  {
    name: "leader: counts of waiting jobs carry their age",
    file: "packages/leader/src/leader_election.ts",
    from: "return unreadMs + (view.row.pendingAgeMs ?? 0);",
    to: "return unreadMs;",
    test: PENDING_CASES,
  },
  {
    name: "leader: small VMs yield to larger ones that are listed",
    file: "packages/leader/src/succession.ts",
    from: "Math.max(former.capacity, largestCapacity())",
    to: "former.capacity + 0 * largestCapacity()",
    test: SUCCESSION_CASES,
  },
  {
    name: "jobs: a job keeps the settings of its removed queue",
    file: "packages/leader/src/job_intake.ts",
    from: "      job.queueSettings;",
    to: "      undefined;",
    test: "packages/faults/src/removed_queue_cases_test.ts",
  },
  {
    name: "jobs: runs of a job that is over are stopped at once",
    file: "packages/leader/src/job_intake.ts",
    from: "board.onClosed(id);",
    to: "",
    test: "packages/faults/src/cancel_cases_test.ts",
  },
  {
    name: "crash losses: the start of a suspect is stored before it is sent",
    file: "packages/leader/src/suspect_starts.ts",
    from: "!isStored(record) && clock.nowMs() < untilMs",
    to: "Number.isNaN(untilMs)",
    also: {
      file: "packages/leader/src/suspect_starts.ts",
      from: "if (isStored(record)) sendStart(attempt);",
      to: "if (attempt) sendStart(attempt);",
    },
    test: CRASH_CASES,
  },
  {
    name: "crash losses: the start of a suspect is recorded as a possible loss",
    file: "packages/leader/src/suspect_starts.ts",
    from: "board.losses.recordAttempt(attempt, LossEvidence.Open);",
    to: "",
    test: CRASH_CASES,
  },
  {
    name: "crash losses: runs on a silent worker are possible losses",
    file: "packages/leader/src/worker_link.ts",
    from: "board.onSilent(worker, clock.nowMs());",
    to: "",
    test: CRASH_CASES,
  },
  {
    name: "crash losses: the leader resolves what former leaders left open",
    file: "packages/leader/src/term.ts",
    from: "this.#board.losses.resolveOpen(this.#planningState().areRunsKnown);",
    to: "",
    test: CRASH_CASES,
  },
  {
    name: "crash losses: another instance that answers is proof",
    file: "packages/leader/src/worker_link.ts",
    from: "if (fault.code === FaultCode.OtherInstance) this.#onOtherInstance();",
    to: "",
    test: CRASH_CASES,
  },
  {
    name: "reports: absence from an incomplete list proves nothing",
    file: "packages/jobs/src/job_board.ts",
    from: "else if (report.hasMore) attempt.progressMs = times.nowMs;",
    to: "",
    test: REPORT_CASES,
  },
  {
    name: "failover: a replaced worker is not waited for",
    file: "packages/jobs/src/job_board.ts",
    from: "worker.isReplaced = true;\n    this.onLost(worker);",
    to: "",
    test: FAILOVER_CASES,
  },
  {
    name: "failover: a worker without a successor is waited for",
    file: "packages/jobs/src/job_board.ts",
    from: "if (worker.isReplaced || !this.#hasSuccessor(worker)) return;",
    to: "if (worker.isReplaced) return;",
    test: FAILOVER_CASES,
  },
  {
    name: "failover: tasks wait for the worker of their placement only",
    file: "packages/leader/src/term.ts",
    from: "return worker.areRunsKnown || nowMs >= worker.leaseExpiryMs;",
    to: "return false;",
    test: FAILOVER_CASES,
  },
  {
    name: "failover: placements from before an older version do not count",
    file: "packages/leader/src/term.ts",
    from: "placement === undefined || placement.epoch < placementsSince",
    to: "placement === undefined",
    test: FAILOVER_CASES,
  },
  {
    name: "crash losses: a faulty machine's losses count once",
    file: "packages/jobs/src/crash_losses.ts",
    from: "if (!isMachineFault) return true;",
    to: "if (!isMachineFault || isMachineFault) return true;",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: a job in a crash loop is given up",
    file: "packages/jobs/src/crash_losses.ts",
    from: "if (isProvenLoop(losses)) return true;",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: crashes long after the start prove less",
    file: "packages/jobs/src/crash_losses.ts",
    from: "(noticedMs ?? startMs) - startMs > LATE_LOSS_MS;",
    to: "Number.isNaN(noticedMs ?? startMs);",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: a run that is listed after all is not lost",
    file: "packages/jobs/src/job_board.ts",
    from: "this.losses.onListed(attempt);",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: no run starts after too many losses",
    file: "packages/jobs/src/start_planner.ts",
    from: " &&\n    !isOverLossLimit(task)",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: a task waits for workers that may come back",
    file: "packages/jobs/src/crash_losses.ts",
    from: "task.notBeforeMs = Math.max(task.notBeforeMs, untilMs);",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: the same incarnation withdraws a loss",
    file: "packages/jobs/src/crash_losses.ts",
    from: "isOfWorker(loss) && loss.bornMs === bornMs && !isActive(task, loss),",
    to: "isOfWorker(loss) && loss.bornMs < 0 && bornMs < 0,",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: a later worker at the same address is proof",
    file: "packages/jobs/src/job_board.ts",
    from: "  addWorker(info: RegisteredWorker): WorkerRecord {\n    this.losses.onRegistered(info);",
    to: "  addWorker(info: RegisteredWorker): WorkerRecord {",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: a run that worked for long is no loss",
    file: "packages/jobs/src/crash_losses.ts",
    from: " || hasWorkedLong(attempt, worker.lastReportMs)",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: the worker of an isolated task gets no other task",
    file: "packages/jobs/src/worker_fit.ts",
    from: "if (worker.isDedicated) return false;",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: an isolated task is not placed beside a suspect",
    file: "packages/jobs/src/suspect_placement.ts",
    from: "if (isIsolated && worker.hasSuspect) return undefined;",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: losses are stored",
    file: "packages/jobs/src/job_record.ts",
    from: "for (const loss of storedLossesOf(task)) losses.push(loss);",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: losses are restored",
    file: "packages/jobs/src/job_record.ts",
    from: "for (const loss of progress.losses) applyLoss(stepRun, loss);",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "crash losses: what former leaders left open is resolved",
    file: "packages/jobs/src/crash_losses.ts",
    from: "this.#strengthen(task, loss, LossEvidence.Unresponsive);",
    to: "",
    test: CRASH_LOSSES,
  },
  {
    name: "a release without an end does not outlast the shutdown limit",
    file: "packages/process/src/request_drain.ts",
    from: "clock.nowMs() < stopMs + limitMs",
    to: "!isReleased() || clock.nowMs() < stopMs + limitMs",
    test: "packages/process/src/request_drain_test.ts",
  },
  {
    name: "a shutdown waits for the release",
    file: "packages/process/src/request_drain.ts",
    from: " && isReleased()",
    to: "",
    test: "packages/process/src/request_drain_test.ts",
  },
  {
    name: "fields of stored rows are checked",
    file: "packages/jobs/src/job_rows.ts",
    from: "isObject(value) && fields.every(([field, check]) => check(value[field]))",
    to: "isObject(value)",
    test: "packages/jobs/src/job_rows_test.ts",
  },
  {
    name: "learnt interference that cannot be read is left out",
    file: "packages/jobs/src/interference_model.ts",
    from: 'if (!(bestTailMs > 0) || typeof slopes !== "object") continue;',
    to: "",
    test: "packages/jobs/src/interference_test.ts",
  },
  {
    name: "load waves are told from interference",
    file: "packages/jobs/src/interference_model.ts",
    from: "if (this.#periodFinder.periodMs !== undefined) {",
    to: "if (Number.isNaN(nowMs)) {",
    test: "packages/bench/src/shared_vm_world_test.ts",
  },
  {
    name: "noise is not taken for a wave",
    file: "packages/jobs/src/period_finder.ts",
    from: "bestExplained > MIN_EXPLAINED ? best : undefined",
    to: "best",
    test: "packages/jobs/src/period_finder_test.ts",
  },
  {
    name: "ends of unknown jobs wait for their job",
    file: "packages/jobs/src/job_board.ts",
    from: "else if (!isComplete) worker.deferredEnds.push(ended);",
    to: "",
    test: "packages/jobs/src/job_board_test.ts",
  },
  {
    name: "runs that were reported before their job was known are attached to it",
    file: "packages/jobs/src/job_board.ts",
    from: "this.#applyEarlierReports(worker, options);",
    to: "",
    test: TAKEOVER_CASES,
  },
  {
    name: "runs of unknown jobs are kept from the last report",
    file: "packages/jobs/src/job_board.ts",
    from: "worker.unknownRuns.push(running);",
    to: "",
    test: "packages/jobs/src/job_board_test.ts",
  },
  {
    name: "an unreadable roster is waited out",
    file: "packages/leader/src/term.ts",
    from: "if (nowMs < this.#workers.unlistedExpiryMs) return;",
    to: "",
    test: TAKEOVER_CASES,
  },
  {
    name: "a job with an unreadable state is not started",
    file: "packages/leader/src/job_intake.ts",
    from: " || this.#unreadable.has(id)",
    to: "",
    test: TAKEOVER_CASES,
  },
  {
    name: "a row that cannot be processed does not stop the others",
    file: "packages/process/src/row_follower.ts",
    from: "notify();\n    } catch (error) {",
    to: "notify();\n    } catch (error) {\n      throw error;",
    test: "packages/process/src/row_follower_test.ts",
  },
  {
    name: "a request that expired before it was sent is not sent later",
    file: "packages/http_ports/src/http_exchange.ts",
    from: 'if (this.#isExpired) controller.abort(new Error("request expired"));',
    to: "",
    test: "packages/http_ports/src/json_client_test.ts",
  },
  {
    name: "a harmful filler waits longer in a busy pool",
    file: "packages/jobs/src/cost_limit.ts",
    from: "isPoolBusy ? MAX_BUSY_IDLE_MS : MAX_IDLE_MS",
    to: "MAX_IDLE_MS",
    test: "packages/jobs/src/start_planner_test.ts",
  },
  {
    name: "a relay drops what it received during a pause",
    file: "packages/relay/src/relay_server.ts",
    from: "if (this.#options.checkPause()) return;",
    to: "",
    also: {
      file: "packages/relay/src/relay_server.ts",
      from: "this.#checkPause();\n    for",
      to: "for",
    },
    test: RELAY_CASES,
  },
  {
    name: "a relay serves only the leader that the table names",
    file: "packages/relay/src/relay_server.ts",
    from: "known?.epoch === hello.epoch && known.instance === hello.instance;",
    to: "known?.epoch !== -1;",
    test: RELAY_CASES,
  },
  {
    name: "a relay refuses calls of another epoch",
    file: "packages/relay/src/relay_server.ts",
    from: "if (this.#hello?.epoch !== call.order.epoch) {",
    to: "if (call.order.epoch < 0) {",
    test: RELAY_CASES,
  },
  {
    name: "a relay ends the connection of a former leader",
    file: "packages/relay/src/relay_server.ts",
    from: "if (known.epoch <= hello.epoch) return;",
    to: "if (known.epoch > 0) return;",
    test: RELAY_CASES,
  },
  {
    name: "a silent relay is given up",
    file: "packages/relay/src/relay_link.ts",
    from: 'if (silentMs > SILENCE_LIMIT_MS) this.#fail("no answer");',
    to: 'if (silentMs < 0) this.#fail("no answer");',
    test: RELAY_CASES,
  },
  {
    name: "a stopped leader gives the release up in time",
    file: "packages/leader/src/term.ts",
    from: "!this.#isLost && clock.nowMs() < limitMs",
    to: "!this.#isLost",
    test: TAKEOVER_CASES,
  },
  {
    name: "a failure is counted once, by the run's number",
    file: "packages/jobs/src/job_board.ts",
    from: "task.failedRuns.add(run);",
    to: "task.failedRuns.add(run + task.failedRuns.size * 1000);",
    test: "packages/jobs/src/job_board_test.ts",
  },
  {
    name: "old snapshots are refused",
    file: "packages/process/src/row_follower.ts",
    from: "if (read.val.revision < this.#minRevision) return false;",
    to: "",
    test: "packages/process/src/row_follower_test.ts",
  },
  {
    name: "jobs that ended are remembered",
    file: "packages/leader/src/job_intake.ts",
    from: "if (history.isOver(id, revision)) {",
    to: "if (false) {",
    also: {
      file: "packages/process/src/row_follower.ts",
      from: "if (read.val.revision < this.#minRevision) return false;",
      to: "",
    },
    test: LEADER_CASES,
  },
  {
    name: "nothing starts before all workers have answered",
    file: "packages/leader/src/term.ts",
    from: "if (nowMs < worker.leaseExpiryMs) return;",
    to: "",
    test: LEADER_CASES,
  },
  {
    name: "a worker without entry is awaited before all is settled",
    file: "packages/leader/src/worker_group.ts",
    from: "if (!worker.areRunsKnown && !isSettled) continue;",
    to: "",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "workers without entry are found in the roster",
    file: "packages/leader/src/worker_group.ts",
    from: "const worker = board.addWorker(unlistedWorker(id, address));",
    to: "if (address !== undefined) continue;\nconst worker = board.addWorker(unlistedWorker(id, address));",
    test: LEADER_CASES,
  },
  {
    name: "a worker that is listed as silent gets no lease",
    file: "packages/jobs/src/worker_record.ts",
    from: " && !this.isListedSilent",
    to: "",
    test: LEADER_CASES,
  },
  {
    name: "the remaining lease of a silent worker is its own property",
    file: "packages/leader/src/worker_group.ts",
    from: "const wasSilent = Object.hasOwn(held.silent, worker.id);",
    to: "const wasSilent = worker.id in held.silent;",
    test: WORKER_ID_CASES,
  },
  {
    name: "a worker is listed as silent by its own property",
    file: "packages/leader/src/progress_store.ts",
    from: "Object.hasOwn(row.silent, worker.id)",
    to: "worker.id in row.silent",
    test: WORKER_ID_CASES,
  },
  {
    name: "a registry entry with an odd field names no worker",
    file: "platform/src/platform_registry.ts",
    from: "if (oddField !== undefined) return malformed(oddField, value);",
    to: "",
    test: REGISTRY_CASES,
  },
  {
    name: "a registry entry's address can be connected to",
    file: "platform/src/platform_registry.ts",
    from: "isText(value) && isHostPort(value)",
    to: "isText(value)",
    test: REGISTRY_CASES,
  },
  {
    name: "a registry entry's numbers are in range",
    file: "platform/src/platform_registry.ts",
    from: "value >= 0 && value <= Number.MAX_SAFE_INTEGER",
    to: "value !== null",
    test: REGISTRY_CASES,
  },
  {
    name: "a registry entry's id is carried unchanged by a header",
    file: "platform/src/platform_registry.ts",
    from: 'if (!WORKER_ID.test(id)) return malformed("id", id);',
    to: "",
    test: REGISTRY_CASES,
  },
  {
    name: "a relay's address can be connected to",
    file: "packages/relay/src/relay_directory.ts",
    from: "isHostPort(entry.address) &&",
    to: "",
    test: "packages/relay/src/relay_pool_test.ts",
  },
  {
    name: "a row's value that is no text fails no other row",
    file: "platform/src/platform_table.ts",
    from: 'if (typeof value !== "string") return "";',
    to: "",
    test: TABLE_CASES,
  },
  {
    name: "a row's value that is not UTF-8 is not read",
    file: "platform/src/platform_table.ts",
    from: 'isUtf8(bytes) ? bytes.toString("utf8") : "";',
    to: 'bytes.toString("utf8");',
    test: TABLE_CASES,
  },
  {
    name: "an answer of the store without rows is a fault",
    file: "platform/src/platform_table.ts",
    from: "if (isValid) return",
    to: "if (text !== undefined) return",
    test: TABLE_CASES,
  },
  {
    name: "a read that throws does not end the following of rows",
    file: "packages/process/src/row_follower.ts",
    from: "return await read();\n  } catch (error) {",
    to: "return await read();\n  } catch (error) {\n    throw error;",
    test: "packages/process/src/row_follower_test.ts",
  },
  {
    name: "a silent worker's tasks wait for its lease to lapse",
    file: "packages/leader/src/worker_link.ts",
    from: "clock.nowMs() < worker.leaseExpiryMs",
    to: "false",
    test: LEADER_CASES,
  },
  {
    name: "a commit demands that nobody else leads",
    file: "packages/leader/src/progress_store.ts",
    from: "checks: [{ key: LEADER_KEY, revision: this.#held.revision }],",
    to: "checks: [],",
    test: LEADER_CASES,
  },
  {
    name: "ends are acknowledged only once they are stored",
    file: "packages/leader/src/worker_link.ts",
    from: "this.#answeredMs > this.#restartMs ? this.worker.storedEndNumber : 0;",
    to: "this.worker.lastEndNumber;",
    test: LEADER_CASES,
  },
  {
    name: "a renewal that is sent again acknowledges no ends",
    file: "packages/leader/src/worker_link.ts",
    from: "{ acknowledged: 0, waitMs: 0 },",
    to: "{ acknowledged: this.#acknowledgeable, waitMs: 0 },",
    test: "packages/leader/src/lost_answer_test.ts",
  },
  {
    name: "a configuration is only replaced by a higher version",
    file: "packages/config/src/queue_config_watcher.ts",
    from: "if (version <= this.#current.version) return;",
    to: "",
    test: "packages/config/src/queue_config_watcher_test.ts",
  },
  {
    name: "a submission demands that its id is free",
    file: "packages/desk/src/submission.ts",
    from: "checks: [{ key: this.#key, revision: commit.base }],",
    to: "checks: [],",
    test: "packages/desk/src/job_service_test.ts",
  },
  {
    name: "new jobs do not wait for workers that are silent",
    file: "packages/leader/src/term.ts",
    from: "this.#isSettled || revision > this.#findNewJobsAbove(nowMs),",
    to: "this.#isSettled || revision > Infinity,",
    test: LEADER_CASES,
  },
  {
    name: "jobs that a lost leader may know wait until its right has ended",
    file: "packages/leader/src/term.ts",
    from: "if (formerRightMs === 0) this.#newJobsAbove = held.revision;",
    to: "if (acquiredMs > 0) this.#newJobsAbove = held.revision;",
    test: LEADER_CASES,
  },
  {
    name: "a release does not wait for orders under way",
    file: "packages/leader/src/term.ts",
    from: "await this.#commits.drain();",
    to: "await this.#commits.drain();\nawait this.#background.drain();",
    test: LEADER_CASES,
  },
  {
    name: "jobs that wait stay counted until the jobs are read",
    file: "packages/leader/src/progress_store.ts",
    from: "const pending = this.#isStateLoaded",
    to: "const pending = this.#options",
    test: SUCCESSION_CASES,
  },
  {
    name: "a leader hands over to a VM with more processor",
    file: "packages/leader/src/succession.ts",
    from: "if (!isNew || found.bid.epoch !== epoch) continue;",
    to: "if (found?.bid.epoch !== -1) continue;",
    test: SUCCESSION_CASES,
  },
  {
    name: "runs on leaving workers are moved",
    file: "packages/leader/src/worker_clearance.ts",
    from: 'board.stop(attempt, "its worker is leaving");',
    to: "",
    test: WORKER_LOSS_CASES,
  },
  {
    name: "leases are short enough for lost tasks to be back in time",
    file: "packages/leader/src/worker_link.ts",
    from: "return Math.min(acceptedMs, MAX_LEASE_MS);",
    to: "return acceptedMs;",
    test: WORKER_LOSS_CASES,
  },
  {
    name: "longer leases of earlier leaders are waited for",
    file: "packages/leader/src/leader_election.ts",
    from: "former === undefined ? 0 : (former.leaseMs ?? leaseMs);",
    to: "former === undefined ? 0 : (former.leaseMs ?? 6000);",
    test: TAKEOVER_CASES,
  },
  {
    name: "the next leader knows the runs of a released leadership",
    file: "packages/leader/src/progress_store.ts",
    from: "} else if (batch.isWhole) {",
    to: "} else if (!batch.isWhole) {",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "a worker stays listed as silent until it answers the next leader",
    file: "packages/leader/src/worker_group.ts",
    from: "worker.isSilent = wasSilent;",
    to: "",
    test: TAKEOVER_CASES,
  },
  {
    name: "runs are listed only when all ends of the worker are stored",
    file: "packages/jobs/src/stored_runs.ts",
    from: "storedEndOf(worker) >= worker.lastEndNumber",
    to: "storedEndOf(worker) >= 0",
    test: "packages/jobs/src/stored_runs_test.ts",
  },
  {
    name: "an inherited run that was never started is dropped at once",
    file: "packages/jobs/src/job_board.ts",
    from: "else if (attempt.isInherited) this.#detach(attempt);",
    to: "",
    test: "packages/jobs/src/job_board_test.ts",
  },
  {
    name: "evacuated workers leave the roster",
    file: "packages/leader/src/stored_roster.ts",
    from: "return workers.filter(({ isEvacuated }) => !isEvacuated);",
    to: "return [...workers];",
    test: TAKEOVER_CASES,
  },
  {
    name: "workers that the roster does not list run nothing",
    file: "packages/leader/src/worker_group.ts",
    from: "if (this.#formerRoster.has(worker.id)) return;",
    to: "if (this.#formerRoster.size >= 0) return;",
    test: TAKEOVER_CASES,
  },
  {
    name: "crash losses: time worked under a former leader counts",
    file: "packages/jobs/src/crash_losses.ts",
    from: "return inheritedWorkMs + Math.max(0, reportMs - confirmedMs);",
    to: "return Math.max(0, reportMs - confirmedMs);",
    test: "packages/jobs/src/stored_runs_test.ts",
  },
  {
    name: "crash losses: a run that was taken over does not count as lost late",
    file: "packages/jobs/src/crash_losses.ts",
    from: "!isInherited && (noticedMs",
    to: "(noticedMs",
    test: CRASH_CASES,
  },
  {
    name: "a roster whose commit may still take effect is written anew",
    file: "packages/leader/src/progress_store.ts",
    from: "if (isRosterSent) this.#storedRoster = undefined;",
    to: "",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "a release does not end the right of leaders before",
    file: "packages/leader/src/leader_election.ts",
    from: "? (former.formerRightMs ?? 0)",
    to: "? 0",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "leaders order no longer than leases last",
    file: "packages/leader/src/leader_election.ts",
    from: "leaderLeaseMs: Math.min(leaderLeaseMs, grantedLeaseMs(leaseMs)),",
    to: "leaderLeaseMs,",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "only tasks that were at work go first",
    file: "packages/jobs/src/job_order.ts",
    from: "task.wasAtWork &&",
    to: "",
    test: "packages/jobs/src/start_planner_test.ts",
  },
  {
    name: "a run moves only when its task may start",
    file: "packages/jobs/src/departures.ts",
    from: "if (!areRunsKnown(attempt.task.stepRun.record)) continue;",
    to: "",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "evacuation: no start in an evacuated domain",
    file: "packages/leader/src/evacuation_guard.ts",
    from: "return !evacuations?.isEvacuated(worker.info.failureDomain);",
    to: "return true;",
    test: EVACUATION_CASES,
  },
  {
    name: "evacuation: orders are short",
    file: "packages/leader/src/evacuation_guard.ts",
    from: "const MAX_START_WINDOW_MS = 2000;",
    to: "const MAX_START_WINDOW_MS = 6000;",
    test: EVACUATION_CASES,
  },
  {
    name: "evacuation: tasks move within the limit of their step",
    file: "packages/jobs/src/evacuation.ts",
    from: "if (next > limit) return false;",
    to: "",
    test: "packages/faults/src/evacuation_moves_test.ts",
  },
  {
    name: "evacuation: nothing is stopped without room elsewhere",
    file: "packages/jobs/src/migrations.ts",
    from: "return isRoomFree(attempt.task);",
    to: "return true;",
    test: "packages/faults/src/evacuation_moves_test.ts",
  },
  {
    name: "evacuation: entries tell each other",
    file: "packages/config/src/config_exchange.ts",
    from: "if (evacuations === undefined) return;",
    to: "return;",
    test: "packages/config/src/evacuation_exchange_test.ts",
  },
  {
    name: "cold workers have a limit",
    file: "packages/jobs/src/worker_fit.ts",
    from: "worker.isAtColdLimit && !mayOverloadCold(stepRun, nowMs)",
    to: "worker.isAtColdLimit && false",
    test: "packages/jobs/src/cold_ramp_test.ts",
  },
  {
    name: "room stays reserved over a backoff of its worker",
    file: "packages/jobs/src/reservations.ts",
    from: "const isKept = worker.isRegistered && !worker.isToBeCleared;",
    to: "const isKept = false;",
    test: "packages/jobs/src/departures_test.ts",
  },
  {
    name: "longer leases are named until they have expired",
    file: "packages/leader/src/former_leases.ts",
    from: "return clock.nowMs() < this.endMs ? Math.max(ownMs, leaseMs) : ownMs;",
    to: "return Math.max(ownMs, 0 * leaseMs);",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "runs of an earlier release are not current",
    file: "packages/leader/src/worker_group.ts",
    from: "if (read.val.epoch !== held.epoch - 1) continue;",
    to: "",
    test: KNOWLEDGE_CASES,
  },
  {
    name: "room is held back for tasks that move",
    file: "packages/jobs/src/worker_record.ts",
    from: "this.reservations.add(task);\n    this.#addResources(task, 1);",
    to: "this.reservations.add(task);\n    this.#addResources(task, 0);",
    test: "packages/jobs/src/departures_test.ts",
  },
  {
    name: "long-running tasks that are down go first",
    file: "packages/jobs/src/job_order.ts",
    from: "tasks.some(isInterrupted)",
    to: "tasks.length < 0",
    test: "packages/jobs/src/start_planner_test.ts",
  },
  {
    name: "what can still make its objective goes first",
    file: "packages/jobs/src/job_order.ts",
    from: "isLate && waitingShare > 0 ? LATE_VALUE / waitingShare : 1",
    to: "1",
    test: "packages/jobs/src/start_planner_test.ts",
  },
  {
    name: "what has begun goes before what is new",
    file: "packages/jobs/src/job_order.ts",
    from: "const PROGRESS_LEAD = 4;",
    to: "const PROGRESS_LEAD = 0;",
    test: "packages/jobs/src/start_planner_test.ts",
  },
  {
    name: "large jobs are not passed by newer ones again and again",
    file: "packages/jobs/src/job_order.ts",
    from: "LATE_VALUE / waitingShare",
    to: "LATE_VALUE",
    test: "packages/planning/src/job_sizes_test.ts",
  },
  {
    name: "tails are taken to go on moving",
    file: "packages/jobs/src/interference_relief.ts",
    from: "if (previousMeasurement <= 0) return measurement;",
    to: "if (previousMeasurement >= 0) return measurement;",
    test: "packages/jobs/src/interference_test.ts",
  },
];

/** Replaces text in sources as they are read. */
function mutate(changes) {
  return {
    name: "mutate",
    setup(builder) {
      builder.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        const own = changes.filter(({ file }) => resolve(file) === path);
        if (own.length === 0) return undefined;
        const contents = own.reduce(
          (text, { from, to }) => text.replace(from, to),
          readFileSync(path, "utf8"),
        );
        return { contents, loader: "ts" };
      });
    },
  };
}

/** Whether the source no longer holds the text that is to be replaced. */
function isStale({ file, from }) {
  return !readFileSync(file, "utf8").includes(from);
}

/** Only mutations whose name contains the first argument, if there is one. */
const wanted = MUTATIONS.filter(({ name }) =>
  name.includes(process.argv[2] ?? ""),
);

let noticed = 0;
let unnoticed = 0;
let stale = 0;
for (const mutation of wanted) {
  rmSync(OUT, { recursive: true, force: true });
  const changes = [mutation, mutation.also].filter((one) => one !== undefined);
  const gone = changes.filter(isStale);
  if (gone.length > 0) {
    stale += 1;
    const places = gone.map(({ file, from }) => `${file}: ${from}`).join("; ");
    console.log(`${mutation.name}: STALE, not found in ${places}`);
    continue;
  }
  await build({
    ...BUNDLE,
    entryPoints: [mutation.test],
    outdir: OUT,
    plugins: [mutate(changes)],
  });
  const bundle = `${OUT}/${mutation.test.split("/").pop().replace(".ts", ".cjs")}`;
  const run = spawnSync(
    process.execPath,
    ["--test", "--test-reporter=tap", "--test-timeout=120000", bundle],
    { encoding: "utf8" },
  );
  const failed = [...run.stdout.matchAll(/^ *not ok \d+ - (.*)$/gm)]
    .map(([, title]) => title)
    .filter((title) => !title.endsWith(".cjs"));
  if (failed.length === 0) unnoticed += 1;
  else noticed += 1;
  const verdict = failed.length === 0 ? "NOT NOTICED" : failed.join("; ");
  console.log(`${mutation.name}: ${verdict}`);
}
console.log(`${noticed} noticed, ${unnoticed} unnoticed, ${stale} stale`);
process.exit(unnoticed + stale === 0 ? 0 : 1);
