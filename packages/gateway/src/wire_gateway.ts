import { SystemClock } from "@laburnumtrack/core/clock";
import { RowCache } from "@laburnumtrack/core/row_cache";
import { MemberPhase, Role } from "@laburnumtrack/core/rows";
import { getSection, type Settings } from "@laburnumtrack/fileset/settings";
import type { Digest } from "@laburnumtrack/peers/gen/peer";
import { Membership } from "@laburnumtrack/peers/membership";
import { startPeerServer } from "@laburnumtrack/peers/peer_server";
import { startAdminServer } from "@laburnumtrack/process/admin_server";
import { watchFreezes } from "@laburnumtrack/process/freeze_watch";
import { listenHttp } from "@laburnumtrack/process/http_listener";
import { createJournal } from "@laburnumtrack/process/journal";
import { Metrics } from "@laburnumtrack/process/metrics";
import { nodeRoute } from "@laburnumtrack/process/node_route";
import { PeerLinks } from "@laburnumtrack/process/peer_links";
import { createPlatformPorts } from "@laburnumtrack/process/platform_ports";
import { logUnhandledRejections } from "@laburnumtrack/process/unhandled_rejections";
import { H3, toNodeHandler } from "h3";
import { Claims } from "./claims";
import { Dispatch } from "./dispatch";
import { EndpointDirectory } from "./endpoint_directory";
import { EndpointPool } from "./endpoint_pool";
import { LeavingVms } from "./leaving_vms";
import { RefreshGate } from "./refresh_gate";
import { RequestServer } from "./request_server";
import { SlotLending } from "./slot_lending";

const SETTLE_LOANS_INTERVAL_MS = 100;
// Pushes of peers may be lost, so changed rows are also polled.
const ENDPOINT_POLL_MS = 2000;
const PEER_EXCHANGE_MS = 2000;
const DRAIN_POLL_MS = 50;
/** Time for load balancer and peers to notice that the gateway is leaving. */
const LEAVE_NOTICE_MS = 1000;
const HEADER_LIMIT_BYTES = 32 * 1024;

/**
 * Creates the gateway with its servers and clients, runs it until `stop` is
 * aborted and shuts it down gracefully.
 */
export async function runGateway(
  settings: Settings,
  stop: AbortSignal,
): Promise<void> {
  const member = getSection(settings, "member");
  const timing = getSection(settings, "membership");
  const section = getSection(settings, "gateway");
  const journal = createJournal("gateway", member.text("log_level"));
  logUnhandledRejections(journal);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const ended = new AbortController();
  const failureDomain = member.text("failure_domain");

  const ports = createPlatformPorts(settings, clock, journal);
  const { client, table, vmList, ring, config } = ports;
  const membership = new Membership({
    clock,
    table,
    ring,
    self: {
      name: member.text("name"),
      role: Role.Gateway,
      failureDomain,
      peerAddress: member.text("peer_address"),
      adminAddress: member.text("admin_address"),
    },
    beatMs: timing.number("beat_ms"),
    deadAfterMs: timing.number("dead_after_ms"),
    configVersion: () => config.current.version,
    onReplaced: () => {
      journal.error(
        "Another process runs under the same name in [member]; this one shuts down.",
      );
      process.kill(process.pid, "SIGTERM");
    },
  });
  const cache = new RowCache();
  const leavingVms = new LeavingVms();
  const slotLending = new SlotLending({
    clock,
    routers: () => directory.routers,
    lenders: () => peers.links(Role.Gateway),
    instance: () => membership.instance,
    deadlineMsOf: (name) =>
      config.current.files.services.get(name)?.deadlineMs ?? 0,
  });
  const directory = new EndpointDirectory(config.current.files, {
    clock,
    table,
    cache,
    leavingVms,
    self: () => ({ instance: membership.instance, failureDomain }),
    queueLimit: section.number("queue_limit"),
    retryShare: section.number("retry_share"),
    onShortage: (service) => slotLending.onShortage(service),
  });
  const peers = new PeerLinks({
    clock,
    membership,
    exchangeIntervalMs: PEER_EXCHANGE_MS,
    digest: createDigest,
    onDigest: (digest, link) => {
      config.onPeerVersion(digest.configVersion, link);
      if (leavingVms.onPeerReport(digest.instance, digest.leavingVms)) {
        directory.refreshAll();
      }
    },
  });
  const pool = new EndpointPool({ connectMs: section.number("connect_ms") });
  const gate = new RefreshGate(async () => {
    await membership.sendHeartbeat();
    updateMembers();
    await config.pollOnce();
    await directory.pollOnce();
  });
  const server = new RequestServer({
    clock,
    metrics,
    configuration: () => config.current,
    directory,
    dispatch: new Dispatch({ clock, sender: pool, metrics }),
    claims: new Claims(table, ring, { clock }),
    stallMs: section.number("read_stall_ms"),
    whenReady: () => gate.waitUntilOpen(),
  });

  function createDigest(): Digest {
    return {
      instance: membership.instance,
      configVersion: config.current.version,
      isLeaving: stop.aborted,
      leavingVms: leavingVms.listedIds(),
    };
  }

  function updateMembers(): void {
    peers.update();
    directory.setSharers(membership.live(Role.Gateway));
    const instances = membership.all().map(({ instance }) => instance);
    leavingVms.retainPeers(new Set(instances));
  }

  async function sendHeartbeats(): Promise<void> {
    while (!ended.signal.aborted) {
      const result = await membership.sendHeartbeat();
      if (result.err) {
        journal.warn(
          "The heartbeat failed; other members evict this process after dead_after_ms without one.",
          {
            fault: result.val.message,
          },
        );
      }
      updateMembers();
      await clock.sleep(timing.number("beat_ms"), ended.signal);
    }
  }

  async function pollEndpoints(): Promise<void> {
    while (!ended.signal.aborted) {
      await directory.pollOnce();
      const vms = await vmList.read();
      if (vms.ok && vms.val !== undefined && leavingVms.onVmList(vms.val)) {
        directory.refreshAll();
      }
      pool.retain(directory.addresses());
      await clock.sleep(ENDPOINT_POLL_MS, ended.signal);
    }
  }

  async function settleLoans(): Promise<void> {
    while (!ended.signal.aborted) {
      slotLending.endExpiredLoans();
      await clock.sleep(SETTLE_LOANS_INTERVAL_MS, ended.signal);
    }
  }

  config.onChange(({ files }) => {
    directory.setFiles(files);
    void directory.pollOnce();
  });
  const closePeerServer = await startPeerServer(member.text("peer_address"), {
    onDigest: (digest) => {
      if (leavingVms.onPeerReport(digest.instance, digest.leavingVms)) {
        directory.refreshAll();
      }
      if (digest.configVersion > config.current.version) config.wake();
      return createDigest();
    },
    onNews: (news) => {
      for (const row of news.rows) cache.merge(row);
    },
    onConfigRequest: ({ aboveVersion }) => config.getIfNewer(aboveVersion),
    slotLender: slotLending,
  });
  metrics.gauge("requests_in_progress", () => server.inProgress);
  metrics.gauge("config_version", () => config.current.version);
  metrics.gauge("endpoint_connections", () => pool.count());
  metrics.gauge("table_rows_read", () => table.load.rowsRead);
  metrics.gauge("table_rows_written", () => table.load.rowsWritten);
  const admin = await startAdminServer({
    address: member.text("admin_address"),
    token: member.text("operator_token"),
    metrics,
    isReady: () => !stop.aborted && config.current.version > 0,
    dump: () => ({
      program: "gateway",
      name: member.text("name"),
      instance: membership.instance,
      configVersion: config.current.version,
      configAgeMs: Math.round(clock.nowMs() - config.confirmedMs),
      isTableFresh: membership.isFresh,
      requestsInProgress: server.inProgress,
      members: membership.all(),
      peers: peers.describe(),
      leavingVms: leavingVms.listedIds(),
      tableLoad: table.load,
      platformBytes: client.bytes,
      services: Object.fromEntries(
        [...directory.routers].map(([name, router]) => [
          name,
          router.describe(),
        ]),
      ),
    }),
    routes: [],
  });
  const app = new H3();
  app.all(
    "/**",
    nodeRoute((request, response) => server.serve(request, response)),
  );
  const listener = await listenHttp(
    section.text("caller_address"),
    toNodeHandler(app),
    { headerLimitBytes: HEADER_LIMIT_BYTES },
  );
  const tasks = [
    config.run(ended.signal),
    sendHeartbeats(),
    pollEndpoints(),
    settleLoans(),
    watchFreezes(
      clock,
      (pausedMs) => {
        journal.warn(
          "The process was paused; it sends a heartbeat and reads configuration and endpoints again while new requests wait for up to 1 s.",
          {
            pausedMs: Math.round(pausedMs),
          },
        );
        gate.close();
      },
      ended.signal,
    ),
  ];
  journal.info("The gateway has started and serves callers.", {
    address: listener.address,
  });

  await new Promise<void>((resolve) => {
    stop.addEventListener("abort", () => resolve());
    if (stop.aborted) resolve();
  });

  journal.info(
    "The gateway shuts down; it completes the requests in progress.",
    { inProgress: server.inProgress },
  );
  const endMs = clock.nowMs() + member.number("shutdown_ms");
  server.startClosing();
  // Load balancer and peers must stop sending requests before the listener
  // closes.
  await membership.writePhase(MemberPhase.Leaving);
  await clock.sleep(LEAVE_NOTICE_MS);
  const closed = listener.close();
  while (server.inProgress > 0 && clock.nowMs() < endMs) {
    await clock.sleep(DRAIN_POLL_MS);
  }
  if (server.inProgress > 0) {
    journal.error(
      "The gateway did not complete all requests within shutdown_ms; the remaining ones are cut off.",
      {
        inProgress: server.inProgress,
      },
    );
  }
  listener.server.closeAllConnections();
  await closed;
  ended.abort();
  config.wake();
  await Promise.all(tasks);
  await membership.writePhase(MemberPhase.Left);
  peers.close();
  await closePeerServer();
  await admin.close();
  await pool.close();
  await client.close();
  journal.info("The gateway has shut down.");
}
