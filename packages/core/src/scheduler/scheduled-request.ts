/** A request that waits for a place at a backend server, as its scheduler knows it. */

export type ScheduledRequest = {
  /** Unique in its cell. */
  id: number;
  /** Address of the gateway that has the caller, and that gateway's number for it. */
  asker: string;
  serial: number;
  /** The caller's name for this try, for the log. */
  attemptId: string;
  workspace: string;
  /** Failure domain of the gateway that has the caller. */
  failureDomain: string;
  /** 0 is the most urgent. */
  urgency: number;
  /** Beyond the declared quota of its workspace; only the tolerance lets it in. */
  isBeyondQuota: boolean;
  /** Estimated work, tokens. */
  workTokens: number;
  promptTokens: number;
  /** Tokens of the answer, as far as its caller guessed them. */
  answerTokens: number;
  arrivedMs: number;
  /** Its caller has been trying for longer than its target. */
  isBelated: boolean;
  /** After this time its first byte comes late. */
  targetMs: number;
  /** Its caller leaves where no part of an answer has come by this time. */
  leaveMs: number;
  /** It gets its final answer by this time. */
  giveUpMs: number;
  /** Backend servers that did not take it, or failed it. */
  triedIds: ReadonlySet<string>;
  /** Failure domains that its gateway does not send it to. */
  excludedDomains: ReadonlySet<string>;
};
