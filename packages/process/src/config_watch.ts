import type { Clock } from "@laburnumtrack/core/clock";
import type { ObjectStore } from "@laburnumtrack/core/object_store";
import { type HeadRow, KeyPrefix, readRow } from "@laburnumtrack/core/rows";
import { Signal } from "@laburnumtrack/core/signal";
import type { Table } from "@laburnumtrack/core/table";
import { EMPTY_FILE_SET, type FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import type { SourceFile } from "@laburnumtrack/fileset/ini_sections";
import type { PeerLink } from "@laburnumtrack/peers/peer_link";
import type { Journal } from "./journal";

/** A version of the configuration. */
export interface Configuration {
  readonly version: number;
  /** The files as they were applied: JSON of a list of `SourceFile`. */
  readonly text: string;
  readonly files: FileSet;
}

/** Options of {@linkcode ConfigWatch}. */
export interface ConfigWatchOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly journal: Journal;
  /** Interval of reads from the platform. */
  readonly pollMs: number;
}

/**
 * Keeps the configuration in force up to date. The version never decreases,
 * and only committed versions come into force: they are read from the
 * platform, or from a peer that has them in force.
 */
export class ConfigWatch {
  readonly #options: ConfigWatchOptions;
  readonly #wake: Signal;
  readonly #listeners: ((configuration: Configuration) => void)[] = [];
  #current: Configuration = { version: 0, text: "[]", files: EMPTY_FILE_SET };
  #confirmedMs = Number.NEGATIVE_INFINITY;
  #peerWithNewerVersion: PeerLink | undefined;

  constructor(options: ConfigWatchOptions) {
    this.#options = options;
    this.#wake = new Signal(options.clock);
  }

  /** Configuration in force in this process. */
  get current(): Configuration {
    return this.#current;
  }

  /**
   * Monotonic ms at which the last successful read of the platform was sent
   * whose version is in force here.
   */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /** Calls `listener` with each version that comes into force. */
  onChange(listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener);
  }

  /** Handles the version of a peer; a higher one triggers a poll at once. */
  onPeerVersion(version: number, link: PeerLink): void {
    if (version <= this.#current.version) return;
    this.#peerWithNewerVersion = link;
    this.#wake.set();
  }

  /** Returns the configuration; version 0 if not above `aboveVersion`. */
  getIfNewer(aboveVersion: number): { version: number; text: string } {
    const { version, text } = this.#current;
    return version > aboveVersion
      ? { version, text }
      : { version: 0, text: "" };
  }

  /** Triggers a poll at once. */
  wake(): void {
    this.#wake.set();
  }

  /** Polls until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pollOnce();
      await this.#wake.wait(this.#options.pollMs);
    }
  }

  /**
   * Polls the platform once. If it does not answer, asks the peer that last
   * reported a higher version.
   */
  async pollOnce(): Promise<void> {
    const { table, clock } = this.#options;
    const sentMs = clock.nowMs();
    const read = await table.get([KeyPrefix.Head]);
    if (read.err) {
      await this.#fetchFromPeer();
      return;
    }
    const [row] = read.val;
    if (row !== undefined) {
      const head = readRow<HeadRow>(row);
      const isActive = await this.#updateTo(head);
      if (!isActive) return;
    }
    this.#confirmedMs = sentMs;
  }

  async #updateTo(head: HeadRow): Promise<boolean> {
    if (head.version <= this.#current.version) return true;
    const object = await this.#options.objects.get(head.object);
    if (object.err) {
      await this.#fetchFromPeer();
      return this.#current.version >= head.version;
    }
    return this.#activate(head.version, object.val);
  }

  async #fetchFromPeer(): Promise<void> {
    const link = this.#peerWithNewerVersion;
    if (link === undefined) return;
    this.#peerWithNewerVersion = undefined;
    const reply = await link.fetchConfig(this.#current.version);
    if (reply.err || reply.val.version <= this.#current.version) return;
    this.#activate(reply.val.version, reply.val.text);
  }

  #activate(version: number, text: string): boolean {
    // Fetches may overlap: the version is checked right before the change.
    if (version <= this.#current.version) return true;
    const { journal } = this.#options;
    const files = parseFileSet(text);
    if (files === undefined) {
      journal.error(
        "Committed file set cannot be parsed; the old version stays in force.",
        {
          version,
        },
      );
      return false;
    }
    this.#current = { version, text, files };
    journal.info("A new configuration is in force.", { version });
    for (const listener of this.#listeners) listener(this.#current);
    return true;
  }
}

function parseFileSet(text: string): FileSet | undefined {
  try {
    const files = readFileSet(JSON.parse(text) as SourceFile[]);
    return files.ok ? files.val : undefined;
  } catch {
    return undefined;
  }
}
