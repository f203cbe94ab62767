import {
  WorkerPhase,
  type WorkerRow,
  workerKey,
} from "@laburnumtrack/core/rows";
import { type Vm, VmPhase } from "@laburnumtrack/core/vm_list";
import type {
  ClusterView,
  WorkerView,
} from "@laburnumtrack/policy/cluster_view";
import type { Edit, EditSink } from "./row_editor";
import type { VmDirectory } from "./vm_directory";

/** Dependencies of {@linkcode reconcileWorkers}. */
export interface ReconcileWorkersOptions {
  readonly editor: EditSink;
  readonly view: ClusterView;
  readonly vms: VmDirectory;
}

/**
 * Creates, updates and removes the workers' rows to match the platform's list
 * of VMs. A row stays until the worker has no assignments.
 */
export async function reconcileWorkers(
  options: ReconcileWorkersOptions,
): Promise<void> {
  const { editor, view, vms } = options;
  const edits: Edit[] = [];
  for (const vm of vms.list()) {
    const known = view.workers.get(vm.id);
    if (known === undefined) edits.push(createWorker(vm));
    else if (isOutdated(known, vm)) edits.push(updateWorker(vm));
  }
  for (const { id, row } of view.workers.values()) {
    if (vms.get(id) !== undefined) continue;
    if (row.assignments.length > 0) continue;
    edits.push(removeWorker(id));
  }
  await Promise.all(edits.map((edit) => editor.edit(edit)));
}

function createWorker(vm: Vm): Edit {
  const key = workerKey(vm.id);
  return {
    keys: [key],
    apply: (draft) => {
      if (draft.read<WorkerRow>(key) !== undefined) return false;
      const row: WorkerRow = {
        vm,
        instance: "",
        phase: WorkerPhase.Lost,
        keeper: "",
        generation: 0,
        former: [],
        assignments: [],
      };
      draft.write(key, row);
      return true;
    },
  };
}

function isOutdated({ row }: WorkerView, vm: Vm): boolean {
  return (
    JSON.stringify(row.vm) !== JSON.stringify(vm) ||
    row.phase !== phaseFor(row, vm)
  );
}

function updateWorker(vm: Vm): Edit {
  const key = workerKey(vm.id);
  return {
    keys: [key],
    apply: (draft) => {
      const row = draft.read<WorkerRow>(key);
      if (row === undefined) return false;
      draft.write(key, { ...row, vm, phase: phaseFor(row, vm) });
      return true;
    },
  };
}

/** The phase by the VM list; a lost worker stays lost until it answers. */
function phaseFor({ phase }: WorkerRow, vm: Vm): WorkerPhase {
  if (phase === WorkerPhase.Lost) return phase;
  return vm.phase === VmPhase.Leaving ? WorkerPhase.Leaving : WorkerPhase.Live;
}

function removeWorker(id: string): Edit {
  const key = workerKey(id);
  return {
    keys: [key],
    apply: (draft) => {
      const row = draft.read<WorkerRow>(key);
      if (row === undefined || row.assignments.length > 0) return false;
      draft.remove(key);
      return true;
    },
  };
}
