import type { Fault } from "@laburnumtrack/core/fault";
import type { Row, Write } from "@laburnumtrack/core/table";
import type { Result } from "ts-results";
import { jobIdOfKey, MAX_ROW_BYTES, parse, stateKey } from "./job_rows";
import type { JobState, StepProgress } from "./job_state";

/**
 * Largest state of one job, in bytes: a commit holds at most 1 MB, with the
 * leadership and other jobs.
 */
const MAX_STATE_BYTES = 600_000;
/** Progress of a step that is larger is stored in pieces, in bytes. */
const MAX_PIECE_BYTES = 8000;
/** Most elements of each list in a piece. */
const MAX_PIECE_LENGTH = 50;

/** Rows of a job's state. */
export interface StateRows {
  readonly writes: readonly Write[];
  /** Number of rows besides the first. */
  readonly parts: number;
  /** Size of the rows together. */
  readonly bytes: number;
}

/**
 * Encodes the state of a job. One that does not fit into a row has its steps in
 * further rows, by ascending occurrence. All rows of a state are written
 * together. `formerParts` is the number of further rows that may be stored.
 */
export function encodeState(
  id: string,
  state: JobState,
  formerParts: number,
): StateRows {
  const text = JSON.stringify(state);
  const bytes = Buffer.byteLength(text);
  const texts =
    bytes <= MAX_ROW_BYTES ? [text] : splitState(limitSize(state, bytes));
  const writes: Write[] = texts.map((value, part) => ({
    key: partKey(id, part),
    value,
  }));
  for (let part = texts.length; part <= formerParts; part += 1) {
    writes.push({ key: partKey(id, part), value: null });
  }
  return {
    writes,
    parts: texts.length - 1,
    bytes: texts.reduce((sum, value) => sum + Buffer.byteLength(value), 0),
  };
}

/** Key of a row of a job's state; part 0 is the first. */
export function partKey(id: string, part: number): string {
  return part === 0 ? stateKey(id) : `${stateKey(id)}/${part}`;
}

/** Further rows of states, which are read with the first ones. */
export class StateParts {
  readonly #parts = new Map<string, readonly StepProgress[]>();

  /** Takes a row if it is a further row of a state; returns whether it is. */
  take(row: Row): boolean {
    if (!jobIdOfKey(row.key).includes("/")) return false;
    const read = readPart(row);
    if (read.ok) this.#parts.set(row.key, read.val.steps);
    return true;
  }

  /** The whole state; undefined if a further row is missing or unreadable. */
  join(id: string, state: JobState): JobState | undefined {
    const { parts = 0 } = state;
    const steps = [...state.steps];
    for (let part = 1; part <= parts; part += 1) {
      const more = this.#parts.get(partKey(id, part));
      if (more === undefined) return undefined;
      for (const progress of more) steps.push(progress);
    }
    return { ...state, steps };
  }
}

function readPart(
  row: Pick<Row, "value">,
): Result<Pick<JobState, "steps">, Fault> {
  return parse<Pick<JobState, "steps">>(row.value, { steps: Array.isArray });
}

/**
 * Leaves out what a commit has no room for: first the losses, then the failures.
 * Without them the next leader tries tasks more often; without the tasks that are
 * done, it would run them again.
 */
function limitSize(state: JobState, bytes: number): JobState {
  if (bytes <= MAX_STATE_BYTES) return state;
  const bare = state.steps.map(({ losses, ...progress }) => progress);
  const withoutLosses = { ...state, steps: bare };
  const size = Buffer.byteLength(JSON.stringify(withoutLosses));
  if (size <= MAX_STATE_BYTES) return withoutLosses;
  const steps = bare.map((progress) => ({ ...progress, failures: [] }));
  return { ...state, steps };
}

/** Texts of the rows of a state that is too large for one. */
function splitState(state: JobState): string[] {
  const pages: StepProgress[][] = [];
  let bytes = MAX_ROW_BYTES;
  for (const piece of state.steps.flatMap(splitProgress)) {
    const size = Buffer.byteLength(JSON.stringify(piece)) + 1;
    if (bytes + size > MAX_ROW_BYTES) {
      pages.push([]);
      bytes = 0;
    }
    pages.at(-1)?.push(piece);
    bytes += size;
  }
  const first = { ...state, steps: [], parts: pages.length };
  return [
    JSON.stringify(first),
    ...pages.map((steps) => JSON.stringify({ steps })),
  ];
}

/** Splits the progress of a step; the pieces together say the same. */
function splitProgress(progress: StepProgress): StepProgress[] {
  if (Buffer.byteLength(JSON.stringify(progress)) <= MAX_PIECE_BYTES) {
    return [progress];
  }
  const { occurrence, step, done, failures } = progress;
  const { losses = [], placements = [] } = progress;
  const longest = Math.max(
    ...[done, failures, losses, placements].map(({ length }) => length),
  );
  const pieces: StepProgress[] = [];
  for (let from = 0; from < longest; from += MAX_PIECE_LENGTH) {
    const to = from + MAX_PIECE_LENGTH;
    const someLosses = losses.slice(from, to);
    const somePlacements = placements.slice(from, to);
    pieces.push({
      occurrence,
      step,
      done: done.slice(from, to),
      failures: failures.slice(from, to),
      ...(someLosses.length > 0 ? { losses: someLosses } : {}),
      ...(somePlacements.length > 0 ? { placements: somePlacements } : {}),
    });
  }
  return pieces;
}
