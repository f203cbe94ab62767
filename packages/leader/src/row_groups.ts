/** Groups of rows that only some commits contain, besides states of jobs. */
export enum RowGroup {
  /** Moves and removals of the states of finished jobs. */
  History = "history",
  /** The learnt interference. */
  Model = "model",
  /** The workers that may hold a lease. */
  Roster = "roster",
  /** The runs on workers, at the release of the leadership. */
  Runs = "runs",
}

/** Time after which a group is tried alone, in ms. */
const TRY_DELAY_MS = 500;
/** The same for a group that was rejected alone, in ms. */
const REJECTED_RETRY_MS = 10_000;

/**
 * Finds out which group of rows a table rejects. The groups of a rejected commit
 * are left out of the following ones, and then tried one by one without states
 * of jobs. A group that is rejected then is tried again from time to time.
 */
export class RowGroups {
  /** Groups that may be rejected, with the monotonic ms of the next try. */
  readonly #suspects = new Map<RowGroup, number>();

  /** The group that the next commit should try alone, if any. */
  nextTry(nowMs: number): RowGroup | undefined {
    for (const [group, tryMs] of this.#suspects) {
      if (tryMs <= nowMs) return group;
    }
    return undefined;
  }

  /** Whether commits may contain the group together with others. */
  isAllowed(group: RowGroup): boolean {
    return !this.#suspects.has(group);
  }

  /** Records that the table accepted the groups, or that they have no rows. */
  onStored(groups: Iterable<RowGroup>): void {
    for (const group of groups) this.#suspects.delete(group);
  }

  /** Records that the table rejected a commit with the groups. */
  onRejected(
    groups: Iterable<RowGroup>,
    { isAlone, nowMs }: { isAlone: boolean; nowMs: number },
  ): void {
    const delayMs = isAlone ? REJECTED_RETRY_MS : TRY_DELAY_MS;
    for (const group of groups) {
      // The next one to be tried is one that was not.
      this.#suspects.delete(group);
      this.#suspects.set(group, nowMs + delayMs);
    }
  }
}
