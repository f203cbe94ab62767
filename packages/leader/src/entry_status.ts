import type { EvacuationStatus } from "./evacuation_log";

/** Answer of an entry to `/status`. */
export interface EntryStatus {
  readonly member: string;
  readonly configVersion: number;
  /** Name of the member that leads; absent if unknown. */
  readonly leader?: string | undefined;
  /** Whether this process leads, and knows what is left. */
  readonly isLeading: boolean;
  /** Absent if requests for evacuations are ignored. */
  readonly evacuations?: readonly EvacuationStatus[] | undefined;
  /** Time in ms for which requests may be unknown; absent if unknown. */
  readonly evacuationAgeMs?: number | undefined;
}
