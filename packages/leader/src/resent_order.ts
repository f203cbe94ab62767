import { type Clock, WAIT_OVER } from "@laburnumtrack/core/clock";
import { type Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { Result } from "ts-results";

/** Input of {@linkcode sendWithResends}. */
export interface ResentOrder<T> {
  readonly clock: Clock;
  /** Most times that the order is sent. */
  readonly maxTries: number;
  /**
   * Time without an answer after which the order is sent again, in ms; undefined
   * if only a failed try is followed by another one.
   */
  readonly resendDelayMs: number | undefined;
  /** Sends the order once; undefined if it must not be sent any more. */
  readonly send: () => Promise<Result<T, Fault>> | undefined;
  /** Called with the fault of each failed try, also after another succeeded. */
  readonly onFault: (fault: Fault) => void;
}

/** Outcome of an order that was sent once or several times. */
export interface ResentReply<T> {
  /** The first answer; undefined if no try was answered. */
  readonly value: T | undefined;
  /** Whether the worker refused a try because it knows a newer leader. */
  readonly isFenced: boolean;
  /**
   * Whether a try other than the answered one may still take effect, now or
   * later.
   */
  readonly isUncertain: boolean;
}

/**
 * Sends an order that may be carried out any number of times with one effect,
 * and sends it again, without giving up earlier tries, while no answer arrives.
 * A lost answer then costs the delay until the next try and not a time-out.
 */
export async function sendWithResends<T>({
  clock,
  maxTries,
  resendDelayMs,
  send,
  onFault,
}: ResentOrder<T>): Promise<ResentReply<T>> {
  const open = new Set<Promise<Result<T, Fault>>>();
  const answered = new Map<Promise<Result<T, Fault>>, Result<T, Fault>>();
  let isUncertain = false;
  let isRefused = false;
  for (let tries = 0; ; ) {
    const sent = tries < maxTries && !isRefused ? send() : undefined;
    if (sent === undefined) isRefused = true;
    else {
      tries += 1;
      const noted = sent.then((result) => {
        answered.set(noted, result);
        if (result.err) onFault(result.val);
        return result;
      });
      open.add(noted);
    }
    if (open.size === 0) break;
    await waitForAnswer(clock, open, isRefused ? undefined : resendDelayMs);
    for (const [call, result] of answered) {
      answered.delete(call);
      open.delete(call);
      if (result.ok) {
        const mayFollow = isUncertain || open.size > 0;
        return { value: result.val, isFenced: false, isUncertain: mayFollow };
      }
      const { code } = result.val;
      if (code === FaultCode.Fenced) {
        return { value: undefined, isFenced: true, isUncertain };
      }
      if (code === FaultCode.OutcomeUnknown) isUncertain = true;
    }
  }
  return { value: undefined, isFenced: false, isUncertain };
}

/** Waits until one of the calls is answered, for `limitMs` at most. */
async function waitForAnswer(
  clock: Clock,
  calls: Iterable<Promise<unknown>>,
  limitMs: number | undefined,
): Promise<void> {
  if (limitMs === undefined) {
    await Promise.race(calls);
    return;
  }
  const settled = new AbortController();
  await Promise.race([...calls, clock.sleep(limitMs, settled.signal)]);
  settled.abort(WAIT_OVER);
}
