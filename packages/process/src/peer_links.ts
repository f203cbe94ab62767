import type { Clock } from "@laburnumtrack/core/clock";
import type { MemberRow, Role } from "@laburnumtrack/core/rows";
import { MemberPhase } from "@laburnumtrack/core/rows";
import type { Row } from "@laburnumtrack/core/table";
import type { Digest } from "@laburnumtrack/peers/gen/peer";
import type { Membership } from "@laburnumtrack/peers/membership";
import { PeerLink } from "@laburnumtrack/peers/peer_link";

/** Options of {@linkcode PeerLinks}. */
export interface PeerLinksOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  /** Pause between two exchanges of digests with a peer. */
  readonly exchangeIntervalMs: number;
  /** Returns the digest of this process. */
  readonly digest: () => Digest;
  /** Called with each digest that a peer sends back. */
  readonly onDigest: (digest: Digest, link: PeerLink) => void;
}

interface Peer {
  readonly link: PeerLink;
  readonly stop: AbortController;
  member: MemberRow;
  /** Whether the last exchange of digests succeeded. */
  isReachable: boolean;
}

/** Links to all other members; each exchanges digests in its own loop. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #peers = new Map<string, Peer>();

  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Opens links to new members and closes links to members that have left. */
  update(): void {
    const { membership } = this.#options;
    const currentAddresses = new Set<string>();
    for (const member of membership.all()) {
      if (member.instance === membership.instance || hasLeft(member)) continue;
      currentAddresses.add(member.peerAddress);
      const known = this.#peers.get(member.peerAddress);
      if (known === undefined) this.#open(member);
      else known.member = member;
    }
    for (const [address, peer] of this.#peers) {
      if (currentAddresses.has(address)) continue;
      peer.stop.abort();
      this.#peers.delete(address);
    }
  }

  /** Links to the peers of a role, reachable ones first. */
  links(role: Role): PeerLink[] {
    return this.#select((peer) => peer.member.role === role);
  }

  /** Link to the member with this instance; undefined when there is none. */
  linkTo(instance: string): PeerLink | undefined {
    return this.#select((peer) => peer.member.instance === instance)[0];
  }

  /**
   * Pushes rows to all peers of a role, without waiting for the result: a peer
   * that misses a push reads the rows at its next poll.
   */
  pushRows(role: Role, rows: readonly Row[]): void {
    if (rows.length === 0) return;
    const instance = this.#options.membership.instance;
    for (const link of this.links(role)) {
      void link.pushRows({ instance, rows: [...rows] });
    }
  }

  /** Lists the peers for the state dump. */
  describe() {
    return [...this.#peers.values()].map(({ member, isReachable }) => ({
      name: member.name,
      isReachable,
    }));
  }

  /** Closes all links. */
  close(): void {
    for (const peer of this.#peers.values()) peer.stop.abort();
    this.#peers.clear();
  }

  #open(member: MemberRow): void {
    const link = new PeerLink(member.peerAddress);
    const stop = new AbortController();
    const peer: Peer = { link, stop, member, isReachable: false };
    this.#peers.set(member.peerAddress, peer);
    void this.#exchangeDigests(peer);
  }

  async #exchangeDigests(peer: Peer): Promise<void> {
    const { clock, exchangeIntervalMs, digest, onDigest } = this.#options;
    const { signal } = peer.stop;
    while (!signal.aborted) {
      const reply = await peer.link.exchange(digest());
      peer.isReachable = reply.ok;
      if (reply.ok) onDigest(reply.val, peer.link);
      await clock.sleep(exchangeIntervalMs, signal);
    }
    peer.link.close();
  }

  #select(matches: (peer: Peer) => boolean): PeerLink[] {
    const peers = [...this.#peers.values()].filter(matches);
    peers.sort((a, b) => Number(b.isReachable) - Number(a.isReachable));
    return peers.map(({ link }) => link);
  }
}

function hasLeft({ phase }: MemberRow): boolean {
  return phase === MemberPhase.Left || phase === MemberPhase.Evicted;
}
