import type { Clock } from "@laburnumtrack/core/clock";
import type { Journal } from "@laburnumtrack/process/journal";
import type { ConfigPeer } from "./config_peer";
import type { QueueConfigWatcher } from "./queue_config_watcher";

/** Options of {@linkcode ConfigExchange}. */
export interface ConfigExchangeOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly watcher: QueueConfigWatcher;
  readonly peer: ConfigPeer;
  /** Addresses of the other processes, `host:port`. */
  readonly addresses: () => readonly string[];
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Age of the configuration from which other processes are asked, in ms. */
  readonly askAgeMs: number;
}

/** Interval at which the configuration's age is checked, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Time for which a process that did not answer is not asked, in ms. */
const BACKOFF_MS = 3000;

/**
 * Keeps the configuration and the evacuations up to date while the table does not answer: asks other
 * processes, each time the one whose last answer was the newest and another one.
 */
export class ConfigExchange {
  readonly #options: ConfigExchangeOptions;
  #best: { readonly address: string; readonly confirmedMs: number } | undefined;
  /** Monotonic ms until which a process is not asked, by address. */
  readonly #backoffs = new Map<string, number>();
  readonly #asked = new Set<string>();
  #isAsking = false;

  constructor(options: ConfigExchangeOptions) {
    this.#options = options;
  }

  /** Checks the configuration's age until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, journal } = this.#options;
    while (!signal.aborted) {
      try {
        this.#check();
      } catch (error) {
        journal.error("Other processes could not be asked; this goes on.", {
          error: error instanceof Error ? error.stack : String(error),
        });
      }
      await clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  #check(): void {
    const { watcher, askAgeMs, journal } = this.#options;
    const { evacuations } = watcher;
    const ageMs = Math.max(watcher.ageMs, evacuations?.ageMs ?? 0);
    const isOutdated = ageMs > askAgeMs;
    if (isOutdated !== this.#isAsking) {
      this.#isAsking = isOutdated;
      journal.info(
        isOutdated
          ? "The configuration could not be confirmed for a while; other processes are asked."
          : "The configuration is confirmed again.",
        { version: watcher.current.version, ageMs: finite(ageMs) },
      );
    }
    if (!isOutdated) return;
    for (const address of this.#choose()) void this.#ask(address);
  }

  #choose(): Set<string> {
    const { clock, addresses, random } = this.#options;
    const nowMs = clock.nowMs();
    const usable = addresses().filter(
      (address) =>
        !this.#asked.has(address) &&
        (this.#backoffs.get(address) ?? nowMs) <= nowMs,
    );
    const chosen = new Set<string>();
    const best = this.#best?.address;
    if (best !== undefined && usable.includes(best)) chosen.add(best);
    const other = usable[Math.floor(random() * usable.length)];
    if (other !== undefined) chosen.add(other);
    return chosen;
  }

  async #ask(address: string): Promise<void> {
    const { clock, watcher, peer } = this.#options;
    const sentMs = clock.nowMs();
    this.#asked.add(address);
    const answer = await peer.ask(address, watcher.current.version);
    this.#asked.delete(address);
    if (answer.err) {
      this.#backoffs.set(address, clock.nowMs() + BACKOFF_MS);
      if (this.#best?.address === address) this.#best = undefined;
      return;
    }
    const { version, ageMs, text, evacuations } = answer.val;
    const toConfirmedMs = (age: number | undefined): number =>
      age === undefined ? Number.NEGATIVE_INFINITY : sentMs - age;
    const confirmedMs = toConfirmedMs(ageMs);
    if (confirmedMs >= (this.#best?.confirmedMs ?? confirmedMs)) {
      this.#best = { address, confirmedMs };
    }
    watcher.adopt({ version, confirmedMs, text });
    if (evacuations === undefined) return;
    watcher.evacuations?.adopt(evacuations, toConfirmedMs(evacuations.ageMs));
  }
}

/** Rounded, or undefined for infinity, which JSON cannot express. */
function finite(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
