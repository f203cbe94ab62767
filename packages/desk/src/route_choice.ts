import type { Forwarder } from "./forwarder";
import type { TableAccess } from "./table_access";

/** Way on which a call is carried out. */
export enum Route {
  /** By a call to the table. */
  Table = "table",
  /** By another entry. */
  Peer = "peer",
}

/** Options of {@linkcode RouteChoice}. */
export interface RouteChoiceOptions {
  readonly access: TableAccess;
  /** Undefined if calls are not forwarded. */
  readonly forwarder: Forwarder | undefined;
}

/**
 * Chooses the ways on which one call is tried: the table first if it serves this
 * process, then another entry, and in turn.
 */
export class RouteChoice {
  readonly #options: RouteChoiceOptions;
  #last: Route | undefined;
  /** Addresses of the entries that have been tried. */
  readonly tried = new Set<string>();

  constructor(options: RouteChoiceOptions) {
    this.#options = options;
  }

  /**
   * Returns the way of the next try; undefined if there is none. An unreachable
   * table is tried only if `isTableNeeded`.
   */
  next({ isTableNeeded }: { isTableNeeded: boolean }): Route | undefined {
    this.#last = this.#choose(isTableNeeded);
    return this.#last;
  }

  #choose(isTableNeeded: boolean): Route | undefined {
    const { access, forwarder } = this.#options;
    if (this.#last === undefined && access.isServed) return Route.Table;
    const canForward = forwarder?.canForward(this.tried) ?? false;
    if (!canForward) {
      return access.isReachable || isTableNeeded ? Route.Table : undefined;
    }
    const wasPeer = this.#last === Route.Peer;
    return wasPeer && access.isReachable ? Route.Table : Route.Peer;
  }

  /** The table carried out a call, so the next one goes there as well. */
  onTableServed(): void {
    this.#last = undefined;
  }
}
