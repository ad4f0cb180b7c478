/** Exit codes of the command line; docs/OPERATIONS.md lists them. */
export enum ExitCode {
  OK = 0,
  /** The program itself failed, for example because its port is in use. */
  FAILED = 1,
  /** The command line is wrong, or names a file that cannot be read. */
  USAGE = 2,
  /** A process did not respond, or none of the logs mentions the request. */
  UNREACHABLE = 3,
  /** Settings or documents have faults. */
  FAULTY = 4,
  /** Stopped immediately by a second signal. */
  INTERRUPTED = 130,
}
