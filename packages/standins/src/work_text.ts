/** Behaviour of a task at a stand-in worker, set by the task's `work` text. */
export interface Work {
  /** Run time of a batch task at full speed, in ms. */
  readonly runMs: number;
  /** Progress between two checkpoints of a batch task, in ms. */
  readonly checkpointMs: number;
  /** Mean time to answer of a service without interference, in ms. */
  readonly answerMs: number;
  /** Share of runs of the task that fail, from 0 to 1. */
  readonly failureRate: number;
  /** Memory use in MiB; 0 means as much as was assigned. */
  readonly memoryUsedMb: number;
  /** Slowdown of services on the same worker; 1 doubles their latency. */
  readonly interference: number;
}

/** Parses a text such as `run_ms=2000 noise=0.5`; other keys are ignored. */
export function readWork(text: string): Work {
  const values = new Map<string, number>();
  for (const pair of text.split(" ")) {
    const [key = "", value = ""] = pair.split("=", 2);
    values.set(key, Number(value));
  }
  return {
    runMs: values.get("run_ms") ?? 1000,
    checkpointMs: values.get("checkpoint_ms") ?? 500,
    answerMs: values.get("answer_ms") ?? 10,
    failureRate: values.get("fail") ?? 0,
    memoryUsedMb: values.get("uses_mb") ?? 0,
    interference: values.get("noise") ?? 0,
  };
}
