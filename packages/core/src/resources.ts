/** An amount of a worker's resources. */
export interface Resources {
  /** Thousandths of a processor core. */
  readonly cpuMilli: number;
  /** Mebibytes of memory. */
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** The zero amount. */
export const NO_RESOURCES: Resources = {
  cpuMilli: 0,
  memoryMb: 0,
  accelerators: 0,
};

export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli + b.cpuMilli,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Subtracts `b` from `a`; fields of the result may be negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli - b.cpuMilli,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Whether `wanted` fits into `free` in every resource. */
export function isWithin(wanted: Resources, free: Resources): boolean {
  return (
    wanted.cpuMilli <= free.cpuMilli &&
    wanted.memoryMb <= free.memoryMb &&
    wanted.accelerators <= free.accelerators
  );
}

/** Sums the `resources` of all holders. */
export function sumResources(
  holders: Iterable<{ readonly resources: Resources }>,
): Resources {
  let sum = NO_RESOURCES;
  for (const holder of holders) sum = addResources(sum, holder.resources);
  return sum;
}
