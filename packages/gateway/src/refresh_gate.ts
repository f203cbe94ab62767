/** Longest time that requests wait while the platform does not answer. */
const MAX_CLOSED_MS = 1000;

/**
 * Delays new requests after the process was paused, until members, configuration
 * and endpoints have been read again: they may be out of date. If the platform
 * does not answer, the gate opens after `MAX_CLOSED_MS`, because services are
 * served even while the store is down.
 */
export class RefreshGate {
  readonly #refresh: () => Promise<void>;
  #closed: Promise<void> | undefined;

  constructor(refresh: () => Promise<void>) {
    this.#refresh = refresh;
  }

  /** Resolves when the gate is open. */
  async waitUntilOpen(): Promise<void> {
    await this.#closed;
  }

  /** Closes the gate, refreshes the state and opens the gate. */
  close(): void {
    if (this.#closed !== undefined) return;
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, MAX_CLOSED_MS);
    });
    this.#closed = Promise.race([this.#refresh(), limit]).then(() => {
      this.#closed = undefined;
    });
  }
}
