import { createHash } from "node:crypto";

/**
 * Selects the owner of `key` among `candidates` by rendezvous hashing. When a
 * candidate is removed, only the keys that it owned get a new owner. Returns
 * undefined if there are no candidates.
 */
export function pickOwner(
  key: string,
  candidates: readonly string[],
): string | undefined {
  let owner: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = computeScore(key, candidate);
    if (
      score > bestScore ||
      (score === bestScore && candidate < (owner ?? ""))
    ) {
      bestScore = score;
      owner = candidate;
    }
  }
  return owner;
}

function computeScore(key: string, candidate: string): number {
  const digest = createHash("sha1").update(`${key}\n${candidate}`).digest();
  return digest.readUIntBE(0, 6);
}
