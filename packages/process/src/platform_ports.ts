import type { Clock } from "@laburnumtrack/core/clock";
import { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { getSection, type Settings } from "@laburnumtrack/fileset/settings";
import { HttpObjectStore } from "@laburnumtrack/http_ports/http_object_store";
import { HttpTable } from "@laburnumtrack/http_ports/http_table";
import { HttpVmList } from "@laburnumtrack/http_ports/http_vm_list";
import { JsonClient } from "@laburnumtrack/http_ports/json_client";
import { ConfigWatch } from "./config_watch";
import type { Journal } from "./journal";

/** Clients of the platform's services that gateway and scheduler share. */
export interface PlatformPorts {
  readonly client: JsonClient;
  readonly table: HttpTable;
  readonly objects: HttpObjectStore;
  readonly vmList: HttpVmList;
  readonly ring: TokenCommitter;
  readonly config: ConfigWatch;
}

const CONNECTIONS_PER_ADDRESS = 8;

/** Creates the clients from the settings. */
export function createPlatformPorts(
  settings: Settings,
  clock: Clock,
  journal: Journal,
): PlatformPorts {
  const member = getSection(settings, "member");
  const platform = getSection(settings, "platform");
  const client = new JsonClient({
    timeoutMs: platform.number("timeout_ms"),
    connections: CONNECTIONS_PER_ADDRESS,
    name: member.text("name"),
  });
  const table = new HttpTable(client, platform.text("table_url"));
  const objectUrl = platform.text("object_store_url");
  const objects = new HttpObjectStore(client, objectUrl);
  const config = new ConfigWatch({
    clock,
    table,
    objects,
    journal: journal.forComponent("config"),
    pollMs: getSection(settings, "membership").number("config_poll_ms"),
  });
  return {
    client,
    table,
    objects,
    vmList: new HttpVmList(client, platform.text("vm_list_url")),
    ring: new TokenCommitter(table, clock),
    config,
  };
}
