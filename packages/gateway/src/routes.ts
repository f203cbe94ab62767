import type { FileSet, Service } from "@laburnumtrack/core/workload";

// Methods as RFC 9110 defines them.
const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);
const IDEMPOTENT_METHODS = new Set([...SAFE_METHODS, "PUT", "DELETE"]);

/** Returns the service whose route is the longest prefix of the path. */
export function findService(files: FileSet, path: string): Service | undefined {
  let found: Service | undefined;
  for (const service of files.services.values()) {
    if (!path.startsWith(service.route)) continue;
    if (found === undefined || service.route.length > found.route.length) {
      found = service;
    }
  }
  return found;
}

/** Whether a request may be sent again after its response was lost. */
export function isIdempotent(
  service: Service,
  request: {
    readonly method: string;
    readonly path: string;
    readonly hasKey: boolean;
  },
): boolean {
  // Requests with an idempotency key must not run twice, whatever the method.
  if (request.hasKey) return false;
  if (IDEMPOTENT_METHODS.has(request.method)) return true;
  return service.idempotentPaths.some((prefix) =>
    request.path.startsWith(prefix),
  );
}

/** Whether a second copy may be sent while the first one runs. */
export function isSafe(method: string): boolean {
  return SAFE_METHODS.has(method);
}
