import type { Role } from "@laburnumtrack/core/rows";

/** A gateway or scheduler of a fleet, with its addresses. */
export interface FleetMember {
  readonly name: string;
  readonly role: Role;
  readonly failureDomain: string;
  /** Loopback address that the process listens on and connects from. */
  readonly host: string;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly callerPort: number;
}

/** Timing settings of a fleet in ms, named after the settings they set. */
export interface FleetTimes {
  readonly beatMs: number;
  readonly deadAfterMs: number;
  readonly leaseMs: number;
  readonly renewMs: number;
  readonly rideThroughMs: number;
}

/** Operator token of every fleet. */
export const FLEET_TOKEN = "fleet-operator-token";

/** Returns the text of a member's settings file. */
export function renderSettings(
  member: FleetMember,
  platformUrl: string,
  times: FleetTimes,
): string {
  const { name, failureDomain, host, role } = member;
  const own =
    role === "gateway"
      ? ["[gateway]", `caller_address = ${host}:${member.callerPort}`]
      : [
          "[scheduler]",
          `lease_ms = ${times.leaseMs}`,
          `renew_ms = ${times.renewMs}`,
          `ride_through_ms = ${times.rideThroughMs}`,
          `lost_grace_ms = ${times.leaseMs}`,
          "place_ms = 100",
        ];
  return [
    "[member]",
    `name = ${name}`,
    `failure_domain = ${failureDomain}`,
    `admin_address = ${host}:${member.adminPort}`,
    `peer_address = ${host}:${member.peerPort}`,
    `operator_token = ${FLEET_TOKEN}`,
    "shutdown_ms = 10000",
    "",
    "[platform]",
    `table_url = ${platformUrl}`,
    `object_store_url = ${platformUrl}`,
    `vm_list_url = ${platformUrl}`,
    "timeout_ms = 1000",
    "",
    "[membership]",
    `beat_ms = ${times.beatMs}`,
    `dead_after_ms = ${times.deadAfterMs}`,
    "config_poll_ms = 300",
    "",
    ...own,
    "",
  ].join("\n");
}
