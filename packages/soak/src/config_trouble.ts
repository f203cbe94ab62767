import type { SeededRandom } from "@laburnumtrack/standins/dice";
import type { SoakWorld } from "./soak_world";

/** What happens next. */
enum ConfigStep {
  /** One version is written. */
  Version = "version",
  /** Versions are written in quick succession. */
  Storm = "storm",
  /** An entry's link to the table has a low bandwidth for a while. */
  NarrowLink = "narrow_link",
}

const STEPS = Object.values(ConfigStep);
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1500;
const STORM_VERSIONS = 12;
const STORM_PAUSE_MS = 80;
/** Bounds of the time for which a link is narrow, in ms. */
const MIN_NARROW_MS = 500;
const MAX_NARROW_MS = 6000;

/**
 * Writes versions of the configuration and narrows links, from a seed of its own:
 * the other faults of a seed stay as they are.
 */
export class ConfigTrouble {
  readonly #world: SoakWorld;
  readonly #dice: SeededRandom;
  readonly #pendingUndos: Promise<void>[] = [];

  constructor(world: SoakWorld, dice: SeededRandom) {
    this.#world = world;
    this.#dice = dice;
  }

  /** Goes on until `signal` is aborted, then waits until links are as before. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#world;
    while (!signal.aborted) {
      await this.#step(this.#dice.pick(STEPS), signal);
      const pauseMs = this.#dice.between(MIN_PAUSE_MS, MAX_PAUSE_MS);
      await clock.sleep(pauseMs, signal);
    }
    await Promise.all(this.#pendingUndos);
  }

  async #step(step: ConfigStep, signal: AbortSignal): Promise<void> {
    switch (step) {
      case ConfigStep.Version:
        this.#world.writeConfig();
        break;
      case ConfigStep.Storm:
        for (let count = 0; count < STORM_VERSIONS; count += 1) {
          this.#world.writeConfig();
          await this.#world.clock.sleep(STORM_PAUSE_MS, signal);
        }
        break;
      case ConfigStep.NarrowLink: {
        const { tableLink } = this.#dice.pick(this.#world.entries);
        tableLink.isNarrow = true;
        const durationMs = this.#dice.between(MIN_NARROW_MS, MAX_NARROW_MS);
        this.#pendingUndos.push(
          this.#world.clock.sleep(durationMs).then(() => {
            tableLink.isNarrow = false;
          }),
        );
        break;
      }
    }
  }
}
