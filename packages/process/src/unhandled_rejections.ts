import type { Journal } from "./journal";

/**
 * Logs promise rejections that nothing handles. Without it, the runtime ends the
 * process, and with it all requests and leases that have nothing to do with the
 * failure.
 */
export function logUnhandledRejections(journal: Journal): void {
  process.on("unhandledRejection", (reason: unknown) => {
    journal.error(
      "An unexpected failure was not handled; the process goes on.",
      {
        error: reason instanceof Error ? reason.stack : String(reason),
      },
    );
  });
}
