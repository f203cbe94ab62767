import { compressConfig, encodeConfigMessage } from "./config_message";
import type { QueueConfigWatcher } from "./queue_config_watcher";

/** Answers other processes that ask for the configuration in use. */
export class ConfigOffer {
  readonly #watcher: QueueConfigWatcher;
  #compressed: { readonly version: number; readonly gzip: string } | undefined;

  constructor(watcher: QueueConfigWatcher) {
    this.#watcher = watcher;
  }

  /** Body of an answer; the text is included if it is above that version. */
  answer(aboveVersion: number): string {
    const { current, ageMs, evacuations } = this.#watcher;
    const { version } = current;
    const gzip = version > aboveVersion ? this.#compress() : undefined;
    return encodeConfigMessage({
      version,
      ageMs,
      gzip,
      evacuations: evacuations && {
        ...evacuations.shared,
        ageMs: evacuations.ageMs,
      },
    });
  }

  #compress(): string {
    const { current, text } = this.#watcher;
    const { version } = current;
    if (this.#compressed?.version !== version) {
      this.#compressed = { version, gzip: compressConfig(text) };
    }
    return this.#compressed.gzip;
  }
}
