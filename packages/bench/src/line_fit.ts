/** A straight line fitted by least squares. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
}

/** A measurement `y` at the swept parameter value `x`. */
export interface SweepPoint {
  readonly x: number;
  readonly y: number;
}

/** Fits a line; the slope is 0 if all points have the same x. */
export function fitLine(points: readonly SweepPoint[]): LineFit {
  const count = Math.max(1, points.length);
  let [sumX, sumY] = [0, 0];
  for (const { x, y } of points) {
    sumX += x;
    sumY += y;
  }
  const [meanX, meanY] = [sumX / count, sumY / count];
  let [covariance, variance] = [0, 0];
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
