import { Favour } from "@laburnumtrack/core/workload";

/** Cluster size, latencies and load of one of the two modelled organisations. */
export interface Profile {
  readonly name: string;
  readonly failureDomains: number;
  readonly gateways: number;
  readonly workers: number;
  readonly slots: number;
  readonly connections: number;
  /** One-way network latency between failure domains, in ms. */
  readonly distanceMs: number;
  /** One-way network latency within a failure domain, in ms. */
  readonly nearMs: number;
  /** Mean response time of an endpoint, in ms. */
  readonly answerMs: number;
  /** Share of all slots that the steady load occupies, from 0 to 1. */
  readonly load: number;
  readonly favour: Favour;
}

/** Société Medjerda d'Inspection des Lignes: gives priority to throughput. */
export const SMIL: Profile = {
  name: "smil",
  failureDomains: 3,
  gateways: 9,
  workers: 30,
  slots: 8,
  connections: 60,
  distanceMs: 4,
  nearMs: 0.2,
  answerMs: 100,
  load: 0.55,
  favour: Favour.Throughput,
};

/** Taller Xochicalli Digital: gives priority to tail latency. */
export const XOCHICALLI: Profile = {
  ...SMIL,
  name: "xochicalli",
  distanceMs: 3,
  answerMs: 50,
  load: 0.45,
  favour: Favour.Latency,
};

export const PROFILES: readonly Profile[] = [SMIL, XOCHICALLI];
