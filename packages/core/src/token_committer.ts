import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "./clock";
import { Fault, FaultCode } from "./fault";
import { generateRandomId, type IdGenerator } from "./ids";
import { KeyPrefix } from "./rows";
import type { Commit, Table, Transaction } from "./table";

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;

/** Options of {@linkcode TokenCommitter.commit}. */
export interface CommitOptions {
  /** Time in ms after which a commit in doubt fails with `OutcomeUnknown`. */
  readonly timeoutMs: number;
}

/**
 * Commits transactions and finds out whether they took effect when the table's
 * reply is lost.
 *
 * Each transaction also writes a unique token to a row that only this process
 * writes. If no reply arrives, the row shows whether the transaction took
 * effect. Token rows are reused, which saves one deletion per transaction.
 */
export class TokenCommitter {
  readonly #table: Table;
  readonly #clock: Clock;
  readonly #ids: IdGenerator;
  readonly #processId: string;
  readonly #freeSlots: TokenSlot[] = [];
  #slotCount = 0;

  constructor(table: Table, clock: Clock, ids: IdGenerator = generateRandomId) {
    this.#table = table;
    this.#clock = clock;
    this.#ids = ids;
    this.#processId = ids();
  }

  /**
   * Commits the transaction, and retries it while its outcome is in doubt. It
   * takes effect at most once. Fails with `OutcomeUnknown` if the outcome is
   * still in doubt after the time-out; any other error means no effect.
   */
  async commit(
    transaction: Transaction,
    options: CommitOptions,
  ): Promise<Result<Commit, Fault>> {
    const slot = this.#freeSlots.pop() ?? this.#makeSlot();
    const result = await this.#commitWith(slot, transaction, options);
    // A slot whose transaction may still take effect is not reused. Neither is
    // one whose row may have been deleted, as its revision would not match.
    const isReusable =
      result.ok || result.val.code === FaultCode.StoreUnavailable;
    if (isReusable) this.#freeSlots.push(slot);
    return result;
  }

  async #commitWith(
    slot: TokenSlot,
    transaction: Transaction,
    options: CommitOptions,
  ): Promise<Result<Commit, Fault>> {
    const value: TokenRow = {
      token: this.#ids(),
      atMs: this.#clock.wallMs(),
    };
    const text = JSON.stringify(value);
    const withToken: Transaction = {
      checks: [
        ...transaction.checks,
        { key: slot.key, revision: slot.revision },
      ],
      writes: [...transaction.writes, { key: slot.key, value: text }],
    };
    const giveUpAtMs = this.#clock.nowMs() + options.timeoutMs;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    let isInDoubt = false;
    // The order matters: the token is read after the table's reply to the
    // commit. A token that is absent after a failed check is never written.
    for (;;) {
      const result = await this.#table.commit(withToken);
      if (result.ok) {
        slot.revision = result.val.revision;
        return result;
      }
      const { code } = result.val;
      if (!isInDoubt && code !== FaultCode.OutcomeUnknown) return result;
      isInDoubt = true;
      const found = await this.#readToken(slot, text);
      if (found.ok && found.val !== undefined) return Ok(found.val);
      // A failed check is final, as a row never returns to an earlier revision.
      if (found.ok && code === FaultCode.Conflict) return result;
      if (this.#clock.nowMs() >= giveUpAtMs) {
        return Err(new Fault(FaultCode.OutcomeUnknown, "commit"));
      }
      await this.#clock.sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
  }

  async #readToken(
    slot: TokenSlot,
    text: string,
  ): Promise<Result<Commit | undefined, Fault>> {
    const read = await this.#table.get([slot.key]);
    if (read.err) return read;
    const row = read.val[0];
    if (row === undefined) return Ok(undefined);
    if (row.value !== text) return Ok(undefined);
    slot.revision = row.revision;
    return Ok({ revision: row.revision });
  }

  #makeSlot(): TokenSlot {
    this.#slotCount += 1;
    return {
      key: `${KeyPrefix.Token}${this.#processId}/${this.#slotCount}`,
      revision: 0,
    };
  }
}

/** Token that a transaction leaves behind when it takes effect. */
export interface TokenRow {
  readonly token: string;
  /** Wall time in ms of the commit; rows that are long unused are deleted. */
  readonly atMs: number;
}

/** A token row and its revision; 0 before the first write. */
interface TokenSlot {
  readonly key: string;
  revision: number;
}
