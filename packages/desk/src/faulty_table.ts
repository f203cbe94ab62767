import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import {
  type Commit,
  type Row,
  Table,
  type Transaction,
} from "@laburnumtrack/core/table";
import { MemoryTable } from "@laburnumtrack/standins/memory_table";
import { Err, Ok, type Result } from "ts-results";

/** What becomes of one call to a {@linkcode FaultyTable}. */
export enum CallFate {
  Answered = "answered",
  /** Takes effect and is answered after `SLOW_MS`. */
  Slow = "slow",
  /** Surely has no effect. */
  Rejected = "rejected",
  /** Rejected after `SLOW_MS`. */
  RejectedSlowly = "rejected_slowly",
  /** Takes effect, but is not answered. */
  AnswerLost = "answer_lost",
  /** Is not answered; takes effect `LATE_MS` later if its condition holds then. */
  Late = "late",
  /** Is not answered and has no effect. */
  Dropped = "dropped",
}

/** Duration of a call, in ms. */
const CALL_MS = 4;
/** Time after which a call without an answer fails, in ms. */
const TIMEOUT_MS = 1000;
export const SLOW_MS = 700;
export const LATE_MS = 3500;

/** In-memory table whose calls fail as a test decides for each of them. */
export class FaultyTable extends Table {
  readonly #clock: Clock;
  readonly #rows: MemoryTable;
  /** Decides over each commit of this process. */
  commitFate: () => CallFate = () => CallFate.Answered;
  /** Decides over each read of this process. */
  readFate: () => CallFate = () => CallFate.Answered;

  constructor(clock: Clock, rows = new MemoryTable()) {
    super();
    this.#clock = clock;
    this.#rows = rows;
  }

  override async get(keys: readonly string[]): Promise<Result<Row[], Fault>> {
    return await this.#carryOut(this.readFate(), () =>
      Ok(this.#rows.readNow(keys)),
    );
  }

  override async scan(prefix: string): Promise<Result<Row[], Fault>> {
    return await this.#carryOut(this.readFate(), () =>
      Ok(this.#rows.scanNow(prefix)),
    );
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Result<Commit, Fault>> {
    return await this.#carryOut(this.commitFate(), () =>
      this.#rows.commitNow(transaction),
    );
  }

  async #carryOut<T>(
    fate: CallFate,
    call: () => Result<T, Fault>,
  ): Promise<Result<T, Fault>> {
    const clock = this.#clock;
    await clock.sleep(CALL_MS / 2);
    switch (fate) {
      case CallFate.Slow: {
        const done = call();
        await clock.sleep(SLOW_MS);
        return done;
      }
      case CallFate.Rejected:
        return Err(new Fault(FaultCode.StoreUnavailable));
      case CallFate.RejectedSlowly:
        await clock.sleep(SLOW_MS);
        return Err(new Fault(FaultCode.StoreUnavailable));
      case CallFate.AnswerLost:
        call();
        break;
      case CallFate.Late:
        void clock.sleep(LATE_MS).then(call);
        break;
      case CallFate.Dropped:
        break;
      default: {
        const done = call();
        await clock.sleep(CALL_MS / 2);
        return done;
      }
    }
    await clock.sleep(TIMEOUT_MS);
    return Err(new Fault(FaultCode.OutcomeUnknown));
  }
}
