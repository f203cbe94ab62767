import { Favour } from "@laburnumtrack/core/workload";

const HEDGE_PERCENTILES: Record<Favour, number> = {
  [Favour.Latency]: 95,
  // Later hedges save retry budget for bursts of slow answers.
  [Favour.Throughput]: 97,
};

/** Latency percentile after which a safe request is hedged. */
export function hedgePercentileOf(favour: Favour): number {
  return HEDGE_PERCENTILES[favour];
}
