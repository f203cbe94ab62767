import { randomUUID } from "node:crypto";
import { Role } from "@laburnumtrack/core/rows";
import { Fleet, SHORT_TIMES } from "@laburnumtrack/faults/fleet";
import { FLEET_TOKEN } from "@laburnumtrack/faults/fleet_settings";
import { Agent, request } from "undici";
import {
  type BenchReport,
  type BenchRow,
  LatencyHistogram,
  round,
} from "./report";

const ROUNDS = 8;
const ROUND_MS = 1500;
const CALLERS = [1, 16];

const FILES = `
[team t]
cpu_cores = 100
memory_mb = 100000
[service s]
team = t
route = /s/
replicas = 4
cpu_cores = 1
memory_mb = 512
latency_target_ms = 100
slots = 64
connections = 128
work = answer_ms=0
`;

/** What a gateway adds to a direct call, both paths in turn in one run. */
export async function benchGateway(): Promise<BenchReport> {
  const fleet = await Fleet.start({
    programs: __dirname,
    failureDomains: ["d"],
    entryVms: 1,
    workers: 4,
    times: SHORT_TIMES,
  });
  try {
    await apply(fleet);
    const gateway = fleet.callerAddresses()[0] ?? "";
    const endpoint = await waitForEndpoint(fleet, gateway);
    const rows: BenchRow[] = [];
    for (const callers of CALLERS) {
      rows.push(...(await compare(callers, { direct: endpoint, gateway })));
    }
    return { bench: "gateway", rows, targets: [] };
  } finally {
    await fleet.stop();
  }
}

async function compare(
  callers: number,
  addresses: { readonly direct: string; readonly gateway: string },
): Promise<BenchRow[]> {
  const agent = new Agent({ connections: callers, pipelining: 1 });
  const seen = new Map<string, LatencyHistogram>();
  // Taken in turn: what else the machine does falls on both alike.
  for (let turn = 0; turn < ROUNDS; turn += 1) {
    for (const [path, address] of Object.entries(addresses)) {
      const latencies = seen.get(path) ?? new LatencyHistogram();
      seen.set(path, latencies);
      await load(callers, { agent, address, latencies });
    }
  }
  await agent.destroy();
  return [...seen].map(([path, latencies]) => ({
    profile: "machine",
    name: `${callers}_callers`,
    candidate: path,
    figures: {
      p50: latencies.percentileMs(50),
      p99: latencies.percentileMs(99),
      requestsPerS: round((latencies.count * 1000) / (ROUNDS * ROUND_MS)),
    },
  }));
}

async function load(
  callers: number,
  path: {
    readonly agent: Agent;
    readonly address: string;
    readonly latencies: LatencyHistogram;
  },
): Promise<void> {
  const endMs = performance.now() + ROUND_MS;
  const one = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      const response = await request(`http://${path.address}/s/x`, {
        dispatcher: path.agent,
      });
      await response.body.text();
      path.latencies.record(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: callers }, one));
}

async function apply(fleet: Fleet): Promise<void> {
  const [scheduler] = fleet.members(Role.Scheduler);
  const files = [{ file: "bench.ini", text: FILES }];
  const url = `http://${scheduler?.host}:${scheduler?.adminPort}/apply`;
  const answer = await request(url, {
    method: "POST",
    headers: { authorization: `Bearer ${FLEET_TOKEN}` },
    body: JSON.stringify({ applyId: randomUUID(), base: 0, files }),
  });
  await answer.body.dump();
}

async function waitForEndpoint(fleet: Fleet, gateway: string): Promise<string> {
  for (;;) {
    const answer = await request(`http://${gateway}/s/ready`);
    await answer.body.dump();
    const address = fleet.workers
      .flatMap((worker) => worker.endpoints())
      .find((one) => one !== "");
    if (answer.statusCode === 200 && address !== undefined) return address;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}
