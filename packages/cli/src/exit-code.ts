/** Exit codes of the command line; docs/OPERATIONS.md lists them. */
export enum ExitCode {
  OK = 0,
  FAULTY = 1,
  USAGE = 2,
  UNREACHABLE = 3,
  INTERRUPTED = 130,
}
