/** Faults that can be injected into the stand-in platform. */
export interface PlatformFaults {
  /** Delay added to every answer, in ms. */
  delayMs: number;
  /** Whether every request is answered with 503. */
  isDown: boolean;
  /** Share of commits whose answer is lost, from 0 to 1; they still take effect. */
  lostAnswers: number;
  /** Lag of the list of VMs, in ms. */
  vmLagMs: number;
  /** Names of processes whose connections are dropped. */
  readonly cutOff: Set<string>;
}

/** Faults of a platform that works correctly. */
export function createNoFaults(): PlatformFaults {
  return {
    delayMs: 0,
    isDown: false,
    lostAnswers: 0,
    vmLagMs: 0,
    cutOff: new Set(),
  };
}

/** Whether a user agent such as `product/NAME` names a cut-off process. */
export function isCutOff(
  cutOff: ReadonlySet<string>,
  userAgent: string | undefined,
): boolean {
  const [, name = ""] = (userAgent ?? "").split("/", 2);
  return cutOff.has(name);
}
