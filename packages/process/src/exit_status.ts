/** Exit status of a program. */
export enum ExitStatus {
  Ok = 0,
  /** The operation failed. */
  Failure = 1,
  /** The command line, the settings or the files are invalid. */
  Usage = 2,
}
