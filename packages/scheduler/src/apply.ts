import type { Clock } from "@laburnumtrack/core/clock";
import { Fault, FaultCode } from "@laburnumtrack/core/fault";
import type { ObjectStore } from "@laburnumtrack/core/object_store";
import {
  type ApplyRow,
  type HeadRow,
  KeyPrefix,
  readRow,
} from "@laburnumtrack/core/rows";
import type { Row, Table } from "@laburnumtrack/core/table";
import type { TokenCommitter } from "@laburnumtrack/core/token_committer";
import { EMPTY_FILE_SET, type FileSet } from "@laburnumtrack/core/workload";
import { readFileSet } from "@laburnumtrack/fileset/file_set";
import {
  type Change,
  diffFileSets,
} from "@laburnumtrack/fileset/file_set_diff";
import type {
  FileError,
  SourceFile,
} from "@laburnumtrack/fileset/ini_sections";
import { Err, Ok, type Result } from "ts-results";

/** Body of `POST /apply`: a file set to commit as the next version. */
export interface ApplyRequest {
  /** Chosen by the caller; a repeated request has no further effect. */
  readonly applyId: string;
  /** Version that the files were edited from; 0 for the first. */
  readonly base: number;
  readonly files: readonly SourceFile[];
}

/** Result of a request that took effect. */
export interface Applied {
  readonly version: number;
  /** False when an earlier request with the same id had taken effect. */
  readonly isNew: boolean;
}

/** Result of a request that had no effect, or whose effect is unknown. */
export interface ApplyRefusal {
  readonly fault: Fault;
  /** All errors found in the files. */
  readonly errors: readonly FileError[];
  /** On a version conflict: differences between request and current files. */
  readonly changes: readonly Change[];
  /** On a version conflict: the current version; else 0. */
  readonly version: number;
}

/** Dependencies of {@linkcode applyFileSet}. */
export interface ApplyOptions {
  readonly clock: Clock;
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly ring: TokenCommitter;
}

const APPLY_ID_PATTERN = /^[A-Za-z0-9-]{8,64}$/;
// A commit without an answer by then is reported as `OutcomeUnknown`.
const COMMIT_TIMEOUT_MS = 8000;

/**
 * Commits a file set atomically as the next version of the configuration.
 * Fails with `VersionConflict` when `base` is not the current version.
 */
export async function applyFileSet(
  request: ApplyRequest,
  options: ApplyOptions,
): Promise<Result<Applied, ApplyRefusal>> {
  const { applyId, base, files } = request;
  if (!APPLY_ID_PATTERN.test(applyId) || !Number.isInteger(base)) {
    return refuse(
      new Fault(
        FaultCode.Malformed,
        "applyId must match [A-Za-z0-9-]{8,64} and base must be an integer",
      ),
    );
  }
  const parsed = readFileSet(files);
  if (parsed.err) {
    return refuse(new Fault(FaultCode.InvalidFile), { errors: parsed.val });
  }
  const { table, objects, ring, clock } = options;
  const applyKey = KeyPrefix.Apply + applyId;
  const read = await table.get([KeyPrefix.Head, applyKey]);
  if (read.err) return refuse(read.val);
  const earlier = read.val.find(({ key }) => key === applyKey);
  if (earlier !== undefined) return Ok(readApplied(earlier));
  const headRow = read.val.find(({ key }) => key === KeyPrefix.Head);
  const head = headRow === undefined ? undefined : readRow<HeadRow>(headRow);
  if ((head?.version ?? 0) !== base)
    return await resolveStaleBase(request, options);
  const version = base + 1;
  const object = `config/${version}-${applyId}`;
  const put = await objects.put(object, JSON.stringify(files));
  if (put.err) {
    // Nothing was committed: an object that no row refers to has no effect.
    return refuse(new Fault(FaultCode.StoreUnavailable, "object store"));
  }
  const appliedAtMs = clock.wallMs();
  const newHead: HeadRow = { version, applyId, object, appliedAtMs };
  const result = await ring.commit(
    {
      checks: [
        { key: KeyPrefix.Head, revision: headRow?.revision ?? 0 },
        { key: applyKey, revision: 0 },
      ],
      writes: [
        { key: KeyPrefix.Head, value: JSON.stringify(newHead) },
        {
          key: applyKey,
          value: JSON.stringify({ version, appliedAtMs } satisfies ApplyRow),
        },
      ],
    },
    { timeoutMs: COMMIT_TIMEOUT_MS },
  );
  if (result.ok) return Ok({ version, isNew: true });
  if (result.val.code !== FaultCode.Conflict) return refuse(result.val);
  return await resolveStaleBase(request, options);
}

/**
 * Answers a request whose `base` is not the current version: success if the
 * request itself was committed earlier, else a version conflict.
 */
async function resolveStaleBase(
  { applyId, files }: ApplyRequest,
  { table, objects }: ApplyOptions,
): Promise<Result<Applied, ApplyRefusal>> {
  const applyKey = KeyPrefix.Apply + applyId;
  const read = await table.get([KeyPrefix.Head, applyKey]);
  if (read.err) return refuse(read.val);
  const earlier = read.val.find(({ key }) => key === applyKey);
  if (earlier !== undefined) return Ok(readApplied(earlier));
  const headRow = read.val.find(({ key }) => key === KeyPrefix.Head);
  const head = headRow === undefined ? undefined : readRow<HeadRow>(headRow);
  const current = await loadFiles(objects, head);
  const requested = readFileSet(files);
  const changes =
    current === undefined || requested.err
      ? []
      : diffFileSets(requested.val, current);
  const version = head?.version ?? 0;
  const fault = new Fault(FaultCode.VersionConflict, `version ${version}`);
  return refuse(fault, { changes, version });
}

async function loadFiles(
  objects: ObjectStore,
  head: HeadRow | undefined,
): Promise<FileSet | undefined> {
  if (head === undefined) return EMPTY_FILE_SET;
  const object = await objects.get(head.object);
  if (object.err) return undefined;
  const files = readFileSet(JSON.parse(object.val) as SourceFile[]);
  return files.ok ? files.val : undefined;
}

function readApplied(row: Row): Applied {
  return { version: readRow<ApplyRow>(row).version, isNew: false };
}

function refuse(
  fault: Fault,
  context: Partial<Omit<ApplyRefusal, "fault">> = {},
): Result<never, ApplyRefusal> {
  return Err({ errors: [], changes: [], version: 0, ...context, fault });
}
