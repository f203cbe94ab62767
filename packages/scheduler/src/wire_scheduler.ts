import { SystemClock } from "@laburnumtrack/core/clock";
import { KeyPrefix, Role } from "@laburnumtrack/core/rows";
import type { Row } from "@laburnumtrack/core/table";
import { getSection, type Settings } from "@laburnumtrack/fileset/settings";
import { HttpWorker } from "@laburnumtrack/http_ports/http_worker";
import { JsonClient } from "@laburnumtrack/http_ports/json_client";
import { startPeerServer } from "@laburnumtrack/peers/peer_server";
import { startAdminServer } from "@laburnumtrack/process/admin_server";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { PeerLinks } from "@laburnumtrack/process/peer_links";
import { createPlatformPorts } from "@laburnumtrack/process/platform_ports";
import { logUnhandledRejections } from "@laburnumtrack/process/unhandled_rejections";
import { applyFileSet } from "./apply";
import { createOperatorRoutes } from "./operator_routes";
import { Scheduler, type SchedulerTimes } from "./scheduler";

const PEER_EXCHANGE_MS = 2000;
const WORKER_TIMEOUT_MS = 1500;

/**
 * Creates the scheduler with its servers and clients, runs it until `stop` is
 * aborted and shuts it down gracefully.
 */
export async function runScheduler(
  settings: Settings,
  stop: AbortSignal,
): Promise<void> {
  const member = getSection(settings, "member");
  const name = member.text("name");
  const journal = createJournal("scheduler", member.text("log_level"));
  logUnhandledRejections(journal);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const ended = new AbortController();

  const ports = createPlatformPorts(settings, clock, journal);
  const { client, table, objects, vmList, ring, config } = ports;
  const workerClient = new JsonClient({
    timeoutMs: WORKER_TIMEOUT_MS,
    connections: 1,
    name,
  });
  const scheduler = new Scheduler({
    clock,
    table,
    vmList,
    worker: new HttpWorker(workerClient),
    ring,
    journal,
    metrics,
    self: {
      name,
      role: Role.Scheduler,
      failureDomain: member.text("failure_domain"),
      peerAddress: member.text("peer_address"),
      adminAddress: member.text("admin_address"),
    },
    times: readTimes(settings),
    configuration: () => config.current,
    onCommitted: pushToPeers,
    pushRow: (instance, row) => {
      const sender = scheduler.membership.instance;
      void peers.linkTo(instance)?.pushRows({ instance: sender, rows: [row] });
    },
    onMembersChanged: () => peers.update(),
    onReplaced: () => {
      journal.error(
        "Another process runs under the same name in [member]; this one shuts down.",
      );
      process.kill(process.pid, "SIGTERM");
    },
  });
  const { membership, placer, keepers, vms, view } = scheduler;
  const createDigest = () => ({
    instance: membership.instance,
    configVersion: config.current.version,
    isLeaving: stop.aborted,
    leavingVms: vms.leaving(),
  });
  const peers = new PeerLinks({
    clock,
    membership,
    exchangeIntervalMs: PEER_EXCHANGE_MS,
    digest: createDigest,
    onDigest: (digest, link) =>
      config.onPeerVersion(digest.configVersion, link),
  });

  function pushToPeers(rows: readonly Row[]): void {
    peers.pushRows(Role.Scheduler, rows);
    peers.pushRows(
      Role.Gateway,
      rows.filter(({ key }) => isServiceRow(key)),
    );
  }

  function isServiceRow(key: string): boolean {
    if (!key.startsWith(KeyPrefix.Task)) return false;
    const workload = key.slice(KeyPrefix.Task.length, key.lastIndexOf("/"));
    return config.current.files.services.has(workload);
  }

  config.onChange(() => placer.wake());
  const closePeerServer = await startPeerServer(member.text("peer_address"), {
    onDigest: (digest) => {
      if (digest.configVersion > config.current.version) config.wake();
      return createDigest();
    },
    onNews: ({ rows }) => scheduler.onPushedRows(rows),
    onConfigRequest: ({ aboveVersion }) => config.getIfNewer(aboveVersion),
    slotLender: undefined,
  });
  metrics.gauge("kept_workers", () => keepers.size);
  metrics.gauge("is_placer", () => Number(placer.isActive));
  metrics.gauge("config_version", () => config.current.version);
  metrics.gauge("table_rows_read", () => table.load.rowsRead);
  metrics.gauge("table_rows_written", () => table.load.rowsWritten);
  const admin = await startAdminServer({
    address: member.text("admin_address"),
    token: member.text("operator_token"),
    metrics,
    isReady: () => !stop.aborted && membership.isFresh,
    dump: () => ({
      program: "scheduler",
      name,
      instance: membership.instance,
      configVersion: config.current.version,
      configAgeMs: Math.round(clock.nowMs() - config.confirmedMs),
      isTableFresh: membership.isFresh,
      isPlacer: placer.isActive,
      keptWorkers: keepers.size,
      members: membership.all(),
      peers: peers.describe(),
      leavingVms: vms.leaving(),
      tableLoad: table.load,
      platformBytes: client.bytes,
      workerBytes: workerClient.bytes,
      workers: view.workers.size,
      chunks: view.chunks.size,
      waits: Object.fromEntries(placer.lastPlan?.waitReasons ?? []),
    }),
    routes: createOperatorRoutes({
      apply: async (request) => {
        const dependencies = { clock, table, objects, ring };
        const result = await applyFileSet(request, dependencies);
        if (result.ok) await config.pollOnce();
        return result;
      },
      sources: async () => {
        await config.pollOnce();
        return await scheduler.readSources();
      },
    }),
  });
  const running = Promise.all([config.run(ended.signal), scheduler.run()]);
  journal.info("The scheduler has started and serves the admin address.", {
    address: admin.address,
  });

  await new Promise<void>((resolve) => {
    stop.addEventListener("abort", () => resolve());
    if (stop.aborted) resolve();
  });

  journal.info(
    "The scheduler shuts down; it hands its workers over to other schedulers.",
    { kept: keepers.size },
  );
  await scheduler.shutDown();
  ended.abort();
  config.wake();
  await running;
  peers.close();
  await closePeerServer();
  await admin.close();
  await client.close();
  await workerClient.close();
  journal.info("The scheduler has shut down.");
}

function readTimes(settings: Settings): SchedulerTimes {
  const timing = getSection(settings, "membership");
  const section = getSection(settings, "scheduler");
  return {
    beatMs: timing.number("beat_ms"),
    deadAfterMs: timing.number("dead_after_ms"),
    leaseMs: section.number("lease_ms"),
    renewMs: section.number("renew_ms"),
    rideThroughMs: section.number("ride_through_ms"),
    placeMs: section.number("place_ms"),
    clockDrift: section.number("clock_drift"),
    lostGraceMs: section.number("lost_grace_ms"),
  };
}
