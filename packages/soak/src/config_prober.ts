import type { Clock } from "@laburnumtrack/core/clock";
import type { SeededRandom } from "@laburnumtrack/standins/dice";
import { Client } from "undici";
import { QUEUE, type SoakEntry, type SoakWorld } from "./soak_world";

/** Answer of an entry about a queue that two versions in a row have. */
export interface ConfigProbe {
  readonly entry: string;
  /** Number of starts of the entry's process at the time. */
  readonly start: number;
  /** Monotonic ms. */
  readonly sentMs: number;
  readonly answeredMs: number;
  /** The first version that has the queue; the next one is the last. */
  readonly queueVersion: number;
  /** Whether the queue exists, according to the entry. */
  readonly isFound: boolean;
}

/** Interval between two probes of an entry, in ms. */
const PROBE_INTERVAL_MS = 120;
/** Time limit of a probe, in ms. */
const ANSWER_TIMEOUT_MS = 3000;
/** Probes ask for the queues of this many versions before the newest one. */
const PROBED_VERSIONS = 4;

/** Asks all entries for queues that the latest versions added or removed. */
export class ConfigProber {
  readonly probes: ConfigProbe[] = [];
  readonly #world: SoakWorld;
  readonly #clock: Clock;
  readonly #dice: SeededRandom;

  constructor(world: SoakWorld, dice: SeededRandom) {
    this.#world = world;
    this.#clock = world.clock;
    this.#dice = dice;
  }

  /** Probes until `signal` is aborted, then waits for the last answers. */
  async run(signal: AbortSignal): Promise<void> {
    const { entries } = this.#world;
    await Promise.all(entries.map((entry) => this.#follow(entry, signal)));
  }

  async #follow(entry: SoakEntry, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const client = new Client(`http://${entry.address}`, {
        headersTimeout: ANSWER_TIMEOUT_MS,
        connectTimeout: ANSWER_TIMEOUT_MS,
      });
      // The connection is used until the process ends it.
      while (!signal.aborted && (await this.#probe(entry, client))) {
        await this.#clock.sleep(PROBE_INTERVAL_MS, signal);
      }
      void client.destroy();
      await this.#clock.sleep(PROBE_INTERVAL_MS, signal);
    }
  }

  /** False when there was no answer. */
  async #probe(entry: SoakEntry, client: Client): Promise<boolean> {
    const newest = this.#world.versions.length;
    const queueVersion = Math.max(
      1,
      newest - this.#dice.between(0, PROBED_VERSIONS),
    );
    const sentMs = this.#clock.nowMs();
    const start = entry.startsMs.length;
    try {
      const answer = await client.request({
        method: "GET",
        path: `/v${queueVersion}/`,
        headers: { host: QUEUE.host },
      });
      await answer.body.dump();
      const { statusCode } = answer;
      if (statusCode !== 200 && statusCode !== 404) return true;
      this.probes.push({
        entry: entry.name,
        start,
        sentMs,
        answeredMs: this.#clock.nowMs(),
        queueVersion,
        isFound: statusCode === 200,
      });
      return true;
    } catch {
      // Killed, paused and stopped entries do not answer.
      return false;
    }
  }
}
