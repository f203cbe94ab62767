import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";

/** Waits for a call up to a time limit; undefined when that is reached first. */
export async function waitAtMost<T>(
  clock: Clock,
  call: Promise<T>,
  limitMs: number,
): Promise<T | undefined> {
  const over = new AbortController();
  const timeout = clock.sleep(limitMs, over.signal).then(() => undefined);
  const value = await Promise.race([call, timeout]);
  over.abort(WAIT_OVER);
  return value;
}
