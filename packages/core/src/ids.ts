import { randomUUID } from "node:crypto";

/** Generates unique ids; tests substitute a deterministic generator. */
export type Ids = () => string;

/** Generates random UUIDs, which are unique without coordination. */
export const randomIds: Ids = () => randomUUID();
