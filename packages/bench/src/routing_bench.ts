import { EndpointMode } from "./bench_endpoint";
import { PROFILES, type Profile } from "./profile";
import type { BenchReport, BenchRow, Target } from "./report";
import { round } from "./report";
import {
  DEADLINE_MS,
  LeastConnections,
  RoundRobin,
  type RoutingCandidate,
  ShippedRouting,
} from "./routing_candidate";
import { RoutingSimulation, type SimulatedGateway } from "./routing_stage";

const WARM_UP_MS = 2000;
const LOAD_END_MS = 9000;
const FAULT_MS = 3000;
const LIST_LAG_MS = 3000;
const SEED = 7;

interface RoutingCase {
  readonly name: string;
  /** Schedules the faults and load changes of the case on the virtual clock. */
  readonly schedule: (
    stage: RoutingSimulation,
    candidate: RoutingCandidate,
  ) => void;
}

const CASES: readonly RoutingCase[] = [
  { name: "steady", schedule: () => {} },
  {
    name: "load_shift",
    schedule: (stage) => {
      stage.clock.at(FAULT_MS, () => {
        // Load rises in one failure domain and falls in the others.
        for (const gateway of stage.gateways) {
          const isHot = gateway.failureDomain === "d0";
          gateway.rate *= isHot ? 2.4 : 0.6;
        }
      });
    },
  },
  {
    name: "noisy_wave",
    schedule: (stage) => {
      for (let wave = 0; wave * 1500 < LOAD_END_MS - FAULT_MS; wave += 1) {
        stage.clock.at(FAULT_MS + wave * 1500, () => {
          for (const [at, endpoint] of stage.endpoints.entries()) {
            endpoint.slowdown = (at + wave) % 5 === 0 ? 5 : 1;
          }
        });
      }
    },
  },
  {
    name: "slow_endpoint",
    schedule: (stage) => {
      for (const at of [3, 17]) {
        const endpoint = stage.endpoints[at];
        if (endpoint !== undefined) endpoint.slowdown = 10;
      }
    },
  },
  {
    name: "failing_endpoint",
    schedule: (stage) => {
      stage.clock.at(FAULT_MS, () => {
        for (const at of [3, 17]) {
          const endpoint = stage.endpoints[at];
          if (endpoint !== undefined) endpoint.mode = EndpointMode.FailsAtOnce;
        }
      });
    },
  },
  {
    name: "lost_rack",
    schedule: (stage, candidate) => {
      const lost = stage.endpoints.filter(({ rack }) => rack === 0);
      stage.clock.at(FAULT_MS, () => {
        for (const endpoint of lost) endpoint.mode = EndpointMode.Silent;
      });
      stage.clock.at(FAULT_MS + LIST_LAG_MS, () => {
        candidate.setEndpoints(
          stage.endpoints.filter((endpoint) => !lost.includes(endpoint)),
        );
      });
    },
  },
  {
    name: "gateway_leaves_and_joins",
    schedule: (stage, candidate) => {
      const rest = stage.gateways.slice(1);
      stage.clock.at(FAULT_MS, () => {
        redistributeLoad(stage.gateways[0], rest);
        candidate.setGateways(rest);
      });
      stage.clock.at(FAULT_MS + 3000, () => {
        candidate.setGateways(stage.gateways);
      });
    },
  },
];

/** Compares the shipped routing with baseline algorithms in virtual time. */
export async function benchRouting(): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  for (const profile of PROFILES) {
    for (const oneCase of CASES) {
      rows.push(...(await runCase(profile, oneCase)));
    }
  }
  return { bench: "routing", rows, targets: evaluateTargets(rows) };
}

async function runCase(
  profile: Profile,
  { name, schedule }: RoutingCase,
): Promise<BenchRow[]> {
  const makers: readonly ((stage: RoutingSimulation) => RoutingCandidate)[] = [
    (stage) => new ShippedRouting(stage, "shipped", 0.1),
    (stage) => new ShippedRouting(stage, "shipped_without_hedges", 0),
    (stage) => new LeastConnections(stage),
    (stage) => new RoundRobin(stage),
  ];
  const rows: BenchRow[] = [];
  for (const make of makers) {
    const stage = new RoutingSimulation(profile, SEED);
    const candidate = make(stage);
    candidate.setEndpoints(stage.endpoints);
    candidate.setGateways(stage.gateways);
    schedule(stage, candidate);
    for (const gateway of stage.gateways)
      void generateLoad(stage, gateway, candidate);
    await stage.clock.run(LOAD_END_MS + DEADLINE_MS);
    rows.push({
      profile: profile.name,
      name,
      candidate: candidate.name,
      figures: summarize(stage),
    });
  }
  return rows;
}

async function generateLoad(
  stage: RoutingSimulation,
  gateway: SimulatedGateway,
  candidate: RoutingCandidate,
): Promise<void> {
  const { clock } = stage;
  for (;;) {
    await clock.sleep(stage.drawInterarrivalMs(gateway.rate));
    if (clock.nowMs() > LOAD_END_MS) return;
    if (gateway.rate > 0) void sendRequest(stage, gateway, candidate);
  }
}

async function sendRequest(
  stage: RoutingSimulation,
  gateway: SimulatedGateway,
  candidate: RoutingCandidate,
): Promise<void> {
  const startMs = stage.clock.nowMs();
  const { isSuccess } = await candidate.send(gateway, startMs + DEADLINE_MS);
  if (startMs < WARM_UP_MS) return;
  stage.sent += 1;
  // A failed request counts with the full deadline as its latency.
  const tookMs = isSuccess ? stage.clock.nowMs() - startMs : DEADLINE_MS;
  stage.latencies.record(tookMs);
  if (!isSuccess) stage.failed += 1;
}

function summarize(stage: RoutingSimulation) {
  const { latencies, failed, sent } = stage;
  return {
    p50: latencies.percentileMs(50),
    p99: latencies.percentileMs(99),
    "p99.9": latencies.percentileMs(99.9),
    goodput: round(((sent - failed) * 1000) / (LOAD_END_MS - WARM_UP_MS)),
    failedShare: round((100 * failed) / Math.max(1, sent)),
    overSlots: stage.maxRequestsOverSlots(),
    largestShare: stage.maxOwnedSlots(),
  };
}

function redistributeLoad(
  from: SimulatedGateway | undefined,
  to: readonly SimulatedGateway[],
): void {
  if (from === undefined) return;
  for (const gateway of to) gateway.rate += from.rate / to.length;
  from.rate = 0.001;
}

function evaluateTargets(rows: readonly BenchRow[]): Target[] {
  const targets: Target[] = [];
  for (const { profile, name, candidate, figures } of rows) {
    if (candidate !== "shipped") continue;
    if (name === "slow_endpoint" || name === "noisy_wave") {
      const others = rows.filter(
        (row) =>
          row.profile === profile &&
          row.name === name &&
          !row.candidate.startsWith("shipped"),
      );
      const best = Math.min(...others.map((row) => row.figures.p99 ?? 0));
      const ratio = round((figures.p99 ?? 0) / best);
      targets.push({
        name: `${profile} ${name} p99 over the best baseline's`,
        bound: "at most 0.5",
        measured: String(ratio),
        isMet: ratio <= 0.5,
      });
    }
    if (name === "gateway_leaves_and_joins") {
      const over = figures.overSlots ?? 0;
      const share = figures.largestShare ?? 0;
      targets.push({
        name: `${profile} requests over an endpoint's slots`,
        bound: `at most the share that moves, ${share} slots`,
        measured: String(over),
        isMet: over <= share,
      });
    }
  }
  return targets;
}
