/** What the leading scheduler writes into its row, with every commit. */
export interface Leadership {
  /** Member that leads, or that led last. */
  readonly holder: string;
  /** Tells apart two lives of the same member. */
  readonly instance: string;
  /** Processing capacity of the holder's VM in cores. */
  readonly capacity: number;
  /** Instance that the holder hands over to; empty: any may take over. */
  readonly successor: string;
  /** Grows with each leader; workers refuse a lower one than they have seen. */
  readonly epoch: number;
  /** Grows with each commit of a leader. */
  readonly sequence: number;
  /** The holder sends nothing to workers any more. */
  readonly isReleased: boolean;
  /**
   * Workers that do not answer: ms until their leases have lapsed. They get no
   * lease before a commit that does not list them.
   */
  readonly silent: Readonly<Record<string, number>>;
  /** Jobs of which nothing has started, by queue. */
  readonly pending: Readonly<Record<string, number>>;
}

/** What a candidate on a better suited VM writes to be handed leadership. */
export interface Bid {
  readonly member: string;
  readonly instance: string;
  /** Epoch of the leader that is asked to hand over. */
  readonly epoch: number;
  /** Processing capacity of the candidate's VM in cores. */
  readonly capacity: number;
}
