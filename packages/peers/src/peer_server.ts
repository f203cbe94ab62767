import { Server, ServerCredentials } from "@grpc/grpc-js";
import {
  type BorrowReply,
  type BorrowRequest,
  type ConfigReply,
  type ConfigRequest,
  type Digest,
  type GiveBackRequest,
  type News,
  type PeerServer,
  PeerService,
} from "./gen/peer";
import type { SlotLender } from "./slot_lender";

/** Handlers of the calls of peers. */
export interface PeerHandlers {
  /** Handles a peer's digest and returns the own one. */
  readonly onDigest: (digest: Digest) => Digest;
  /** Handles changed rows that a peer pushed. */
  readonly onNews: (news: News) => void;
  /** Returns a configuration above the requested version, or version 0. */
  readonly onConfigRequest: (request: ConfigRequest) => ConfigReply;
  /** Lends slots; undefined in a process without slots. */
  readonly slotLender: SlotLender | undefined;
}

const MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

/**
 * Starts the gRPC server for peers. Resolves with a function that stops it;
 * rejects when the address cannot be bound.
 */
export async function startPeerServer(
  address: string,
  handlers: PeerHandlers,
): Promise<() => Promise<void>> {
  const server = new Server({
    "grpc.max_receive_message_length": MESSAGE_LIMIT_BYTES,
  });
  server.addService(PeerService, createService(handlers));
  await new Promise<void>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(address, credentials, (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
  return () =>
    new Promise((resolve) => {
      // Calls that are still open after this time are cancelled.
      const timer = setTimeout(() => server.forceShutdown(), 500);
      server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
}

function createService(handlers: PeerHandlers): PeerServer {
  return {
    exchange: (call, callback) => {
      callback(null, handlers.onDigest(call.request));
    },
    tell: (call, callback) => {
      handlers.onNews(call.request);
      callback(null, {});
    },
    borrow: (call, callback) => {
      callback(null, lend(handlers.slotLender, call.request));
    },
    giveBack: (call, callback) => {
      takeBack(handlers.slotLender, call.request);
      callback(null, {});
    },
    fetchConfig: (call, callback) => {
      callback(null, handlers.onConfigRequest(call.request));
    },
  };
}

function lend(
  lender: SlotLender | undefined,
  { service, wanted }: BorrowRequest,
): BorrowReply {
  return lender?.lend(service, wanted) ?? { slots: [], termMs: 0 };
}

function takeBack(
  lender: SlotLender | undefined,
  { slots }: GiveBackRequest,
): void {
  lender?.takeBack(slots);
}
