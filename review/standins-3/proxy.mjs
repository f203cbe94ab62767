// Loopback proxy before a worker that can hold back single requests and
// deliver them later, whatever has become of the caller's channel.
import { Agent, createServer, request as send } from "node:http";

export class DelayProxy {
  #target;
  #server;
  #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  /** `(request) => ms` by which the request is delivered late; 0: at once. */
  delayOf = () => 0;
  /** Called with the status and body of a request that was delivered late. */
  onLate = () => {};

  constructor(target) {
    this.#target = target;
  }

  async listen() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
    this.#agent.destroy();
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const lateMs = this.delayOf({ url: request.url, body });
    if (lateMs > 0) {
      // The response would come too late for the caller: it gets none.
      setTimeout(async () => {
        const answer = await this.#deliver(request, body);
        this.onLate({ body, ...answer });
      }, lateMs);
      return;
    }
    const answer = await this.#deliver(request, body);
    if (response.destroyed) return;
    if (answer.status === 0) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(answer.text);
  }

  #deliver({ method, url, headers }, body) {
    const [host, port] = this.#target().split(":");
    return new Promise((resolve) => {
      const call = send(
        {
          host,
          port,
          method,
          path: url,
          agent: this.#agent,
          headers: {
            ...headers,
            host: this.#target(),
            connection: "keep-alive",
          },
        },
        async (answer) => {
          const chunks = [];
          try {
            for await (const chunk of answer) chunks.push(chunk);
            const text = Buffer.concat(chunks).toString("utf8");
            resolve({ status: answer.statusCode, text });
          } catch {
            resolve({ status: 0, text: "" });
          }
        },
      );
      call.on("error", () => resolve({ status: 0, text: "" }));
      call.end(body);
    });
  }
}
