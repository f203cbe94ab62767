import type { Fault } from "@laburnumtrack/core/fault";
import {
  type HeadRow,
  KeyPrefix,
  type PlacerRow,
} from "@laburnumtrack/core/rows";
import type { Result } from "ts-results";
import { type Edit, EditSink } from "./row_editor";

/** The identity and configuration under which a scheduler makes decisions. */
export interface PlacerContext {
  readonly instance: string;
  /** Version of the configuration that the scheduler has in force. */
  readonly version: number;
}

/**
 * Commits edits only while this scheduler holds the placer's row and has the
 * newest configuration in force. Both rows are checked in the edit's own
 * transaction, so that decisions made before another scheduler took over, or on
 * an older version, have no effect. Without the check of the version, a placer
 * with an older configuration cancelled a job that was new in the next one.
 */
export class PlacerFence extends EditSink {
  readonly #sink: EditSink;
  readonly #context: () => PlacerContext;

  constructor(sink: EditSink, context: () => PlacerContext) {
    super();
    this.#sink = sink;
    this.#context = context;
  }

  override edit(edit: Edit): Promise<Result<boolean, Fault>> {
    const { instance, version } = this.#context();
    return this.#sink.edit({
      keys: [KeyPrefix.Placer, KeyPrefix.Head, ...edit.keys],
      apply: (draft) => {
        const holder = draft.read<PlacerRow>(KeyPrefix.Placer)?.instance;
        const newest = draft.read<HeadRow>(KeyPrefix.Head)?.version;
        return holder === instance && newest === version && edit.apply(draft);
      },
    });
  }
}
