import { randomUUID } from "node:crypto";

/** Generates unique ids; tests substitute a deterministic generator. */
export type IdGenerator = () => string;

/** Generates random UUIDs, which are unique without coordination. */
export const generateRandomId: IdGenerator = () => randomUUID();
