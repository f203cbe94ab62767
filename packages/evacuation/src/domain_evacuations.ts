import type { Clock } from "@laburnumtrack/core/clock";
import { SuspensionDetector } from "@laburnumtrack/core/suspension_detector";
import type { Journal } from "@laburnumtrack/process/journal";

/** The row by which an operator requests the evacuation of a failure domain. */
export interface EvacuationRequest {
  readonly domain: string;
  /** Revision of the row. */
  readonly revision: number;
}

/** An evacuation that has not been lifted. */
export interface Evacuation extends EvacuationRequest {
  /** Monotonic ms at which this process learnt of it. */
  readonly sinceMs: number;
}

/** All evacuations that a process knows, for other processes. */
export interface SharedEvacuations {
  /** Revision up to which all requests and removals are taken into account. */
  readonly revision: number;
  readonly requests: readonly EvacuationRequest[];
}

/** What is known of the reader that feeds the evacuations from the table. */
export interface EvacuationFeed {
  /** Monotonic ms up to which all changes are known. */
  readonly confirmedMs: number;
  /** Revision up to which all changes are known. */
  readonly revision: number;
}

/** Options of {@linkcode DomainEvacuations}. */
export interface DomainEvacuationsOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  /** Time in ms within which no task starts any more after a request. */
  readonly limitMs: number;
}

/** How the evacuations of a process are learnt. */
enum Origin {
  Table = "table",
  Peer = "peer",
}

/**
 * The failure domains that operators have evacuated, from the table and from
 * other processes. Revisions decide: an older read never reverts a newer state.
 */
export class DomainEvacuations {
  readonly limitMs: number;
  readonly #clock: Clock;
  readonly #journal: Journal;
  readonly #suspensions: SuspensionDetector;
  readonly #evacuations = new Map<string, Evacuation>();
  readonly #listeners = new Set<() => void>();
  #feed: EvacuationFeed | undefined;
  /** Revision of the state that was last taken over from another process. */
  #sharedRevision = 0;
  #sharedConfirmedMs = Number.NEGATIVE_INFINITY;
  /** Monotonic ms at which the VM was last resumed. */
  #resumedMs = Number.NEGATIVE_INFINITY;

  constructor({ clock, journal, limitMs }: DomainEvacuationsOptions) {
    this.#clock = clock;
    this.#journal = journal;
    this.limitMs = limitMs;
    this.#suspensions = new SuspensionDetector(clock);
  }

  /**
   * Time in ms for which requests may have been stored without being known here;
   * infinite before the first read.
   */
  get ageMs(): number {
    const nowMs = this.#clock.nowMs();
    if (this.#suspensions.check()) this.#resumedMs = nowMs;
    const confirmedMs = Math.max(
      this.#feed?.confirmedMs ?? Number.NEGATIVE_INFINITY,
      this.#sharedConfirmedMs,
    );
    // How long ago an earlier confirmation was is not known.
    return confirmedMs > this.#resumedMs
      ? nowMs - confirmedMs
      : Number.POSITIVE_INFINITY;
  }

  /** What other processes can take over. */
  get shared(): SharedEvacuations {
    return {
      revision: this.#revision,
      requests: this.list().map(({ domain, revision }) => ({
        domain,
        revision,
      })),
    };
  }

  /** Whether no task may start in the failure domain. */
  isEvacuated(domain: string): boolean {
    return this.#evacuations.has(domain);
  }

  /** The evacuation of a failure domain; undefined if it is not evacuated. */
  get(domain: string): Evacuation | undefined {
    return this.#evacuations.get(domain);
  }

  /** The evacuations that have not been lifted. */
  list(): Evacuation[] {
    return [...this.#evacuations.values()];
  }

  /** Calls `listener` after each change; returns a function that ends this. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Names the reader of the table whose rows are passed on to this object. */
  follow(feed: EvacuationFeed): void {
    this.#feed = feed;
  }

  /** Takes over all requests that the table had at a revision. */
  onSnapshot(requests: readonly EvacuationRequest[], revision: number): void {
    // Another process knew a later state.
    if (revision < this.#sharedRevision) return;
    this.#replace(requests, revision, Origin.Table);
  }

  /** Takes over a change of the table. */
  onChange(request: EvacuationRequest, isRequested: boolean): void {
    const { domain, revision } = request;
    const known = this.#evacuations.get(domain);
    // A snapshot may hold changes that follow it, and another process may know
    // of changes that are read here only now.
    const knownRevision = Math.max(known?.revision ?? 0, this.#sharedRevision);
    if (revision <= knownRevision) return;
    if (isRequested) this.#begin(request, Origin.Table);
    else this.#end(request, Origin.Table);
    this.#notify();
  }

  /**
   * Takes over what another process knows, unless that is older; `confirmedMs`
   * is the monotonic ms of this process up to which it knows all changes.
   */
  adopt({ revision, requests }: SharedEvacuations, confirmedMs: number): void {
    if (revision < this.#revision) return;
    if (revision > this.#revision) {
      this.#sharedRevision = revision;
      this.#replace(requests, revision, Origin.Peer);
    }
    this.#sharedConfirmedMs = Math.max(this.#sharedConfirmedMs, confirmedMs);
  }

  /** Revision up to which all requests and removals are known. */
  get #revision(): number {
    return Math.max(this.#feed?.revision ?? 0, this.#sharedRevision);
  }

  #replace(
    requests: readonly EvacuationRequest[],
    revision: number,
    origin: Origin,
  ): void {
    const listed = new Set(requests.map(({ domain }) => domain));
    for (const known of this.list()) {
      // A request above the revision was written after the state was read.
      if (known.revision > revision || listed.has(known.domain)) continue;
      this.#end({ domain: known.domain, revision }, origin);
    }
    for (const request of requests) {
      const known = this.#evacuations.get(request.domain);
      if (request.revision > (known?.revision ?? 0)) {
        this.#begin(request, origin);
      }
    }
    this.#notify();
  }

  #begin({ domain, revision }: EvacuationRequest, origin: Origin): void {
    const known = this.#evacuations.get(domain);
    const sinceMs = known?.sinceMs ?? this.#clock.nowMs();
    this.#evacuations.set(domain, { domain, revision, sinceMs });
    if (known !== undefined) return;
    this.#journal.info("A failure domain is evacuated; no task starts there.", {
      domain,
      revision,
      origin,
    });
  }

  #end({ domain, revision }: EvacuationRequest, origin: Origin): void {
    const known = this.#evacuations.get(domain);
    if (known === undefined) return;
    this.#evacuations.delete(domain);
    this.#journal.info("The evacuation of a failure domain is lifted.", {
      domain,
      revision,
      origin,
      lastedMs: Math.round(this.#clock.nowMs() - known.sinceMs),
    });
  }

  #notify(): void {
    for (const listener of this.#listeners) {
      try {
        listener();
      } catch (error) {
        this.#journal.error(
          "A change of the evacuations could not be processed.",
          { error: error instanceof Error ? error.stack : String(error) },
        );
      }
    }
  }
}
