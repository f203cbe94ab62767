import { ChannelCredentials, type ServiceError } from "@grpc/grpc-js";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import { Err, Ok, type Result } from "ts-results";
import {
  type BorrowReply,
  type BorrowRequest,
  type ConfigReply,
  type Digest,
  type GiveBackRequest,
  type News,
  PeerClient,
} from "./gen/peer";

const CALL_TIMEOUT_MS = 1000;
const MAX_RECONNECT_BACKOFF_MS = 2000;

type Unary<Request, Reply> = (
  request: Request,
  options: { deadline: number },
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/** gRPC client of one peer; all calls fail with `PeerUnreachable`. */
export class PeerLink {
  readonly address: string;
  readonly #client: PeerClient;

  constructor(address: string) {
    this.address = address;
    const credentials = ChannelCredentials.createInsecure();
    this.#client = new PeerClient(address, credentials, {
      "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
      "grpc.initial_reconnect_backoff_ms": 100,
      // Members connect to IP addresses directly, without a proxy.
      "grpc.enable_http_proxy": 0,
    });
  }

  /** Sends the own digest and returns the peer's. */
  exchange(digest: Digest): Promise<Result<Digest, Fault>> {
    return this.#call<Digest, Digest>(this.#client.exchange, digest);
  }

  /** Pushes changed rows. */
  pushRows(news: News): Promise<Result<unknown, Fault>> {
    return this.#call<News, unknown>(this.#client.tell, news);
  }

  /** Borrows slots of the peer's endpoints. */
  borrow(request: BorrowRequest): Promise<Result<BorrowReply, Fault>> {
    return this.#call<BorrowRequest, BorrowReply>(this.#client.borrow, request);
  }

  /** Returns borrowed slots. */
  giveBack(request: GiveBackRequest): Promise<Result<unknown, Fault>> {
    return this.#call<GiveBackRequest, unknown>(this.#client.giveBack, request);
  }

  /** Fetches the configuration of the peer; version 0 if it is not newer. */
  fetchConfig(aboveVersion: number): Promise<Result<ConfigReply, Fault>> {
    return this.#call<{ aboveVersion: number }, ConfigReply>(
      this.#client.fetchConfig,
      { aboveVersion },
    );
  }

  close(): void {
    this.#client.close();
  }

  #call<Request, Reply>(
    method: unknown,
    request: Request,
  ): Promise<Result<Reply, Fault>> {
    const unary = (method as Unary<Request, Reply>).bind(this.#client);
    const deadline = Date.now() + CALL_TIMEOUT_MS;
    return new Promise((resolve) => {
      unary(request, { deadline }, (error, reply) => {
        if (error === null) resolve(Ok(reply));
        else {
          resolve(Err(new Fault(FaultCode.PeerUnreachable, this.address)));
        }
      });
    });
  }
}
