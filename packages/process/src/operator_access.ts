import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Whether a request has the operators' token; compares in constant time. */
export function hasOperatorToken(
  request: IncomingMessage,
  token: string,
): boolean {
  const header = request.headers.authorization ?? "";
  const receivedToken = header.startsWith("Bearer ") ? header.slice(7) : "";
  // timingSafeEqual needs equal lengths, which digests always have.
  return token !== "" && timingSafeEqual(digest(receivedToken), digest(token));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
