/** Faults and operations that a fault run injects into a fleet. */
export enum FaultKind {
  /** SIGKILL of a scheduler, which is restarted later. */
  KillScheduler = "kill_scheduler",
  /** SIGKILL of a gateway, which is restarted later. */
  KillGateway = "kill_gateway",
  /** SIGSTOP of a scheduler for longer than a lease, then SIGCONT. */
  FreezeScheduler = "freeze_scheduler",
  /** SIGSTOP of a gateway for longer than a lease, then SIGCONT. */
  FreezeGateway = "freeze_gateway",
  /** The platform answers no requests. */
  StoreDown = "store_down",
  /** The platform answers every request late. */
  StoreSlow = "store_slow",
  /** Commits take effect, but some of their answers are lost. */
  AnswersLost = "answers_lost",
  /** The list of VMs is some seconds out of date. */
  VmListLags = "vm_list_lags",
  /** No scheduler can reach one of the workers. */
  WorkerCut = "worker_cut",
  /** A worker loses its tasks and restarts as a new instance. */
  WorkerRestart = "worker_restart",
  /** Every batch task on one worker fails. */
  WorkerFailsAll = "worker_fails_all",
  /** The platform removes a VM after a notice. */
  VmLeaves = "vm_leaves",
  /** One scheduler cannot reach the platform but still reaches its workers. */
  SchedulerCutFromStore = "scheduler_cut_from_store",
  /**
   * One scheduler cannot reach the platform but still reaches its workers, and
   * the other schedulers cannot reach any worker.
   */
  OwnerSplit = "owner_split",
  /** One gateway cannot reach the platform. */
  GatewayCutFromStore = "gateway_cut_from_store",
  /** Several operators apply on the same base version at once. */
  OperatorsRace = "operators_race",
  /** An apply is repeated after another operator's apply. */
  ApplyRepeated = "apply_repeated",
  /** Most jobs are cancelled at once. */
  CancellationWave = "cancellation_wave",
  /** SIGTERM of a gateway under load, then a restart. */
  StopGateway = "stop_gateway",
  /** SIGTERM of a scheduler, then a restart. */
  StopScheduler = "stop_scheduler",
  /** SIGKILL of every process, then a restart. */
  RestartAll = "restart_all",
  /** An urgent job, which has to evict other tasks. */
  UrgentJob = "urgent_job",
}
