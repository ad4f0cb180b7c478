/** A request that waits for a slot at a backend server, as the scheduler sees it. */

export type ScheduledRequest = {
  /** Unique in its cell. */
  id: number;
  /** Address of the gateway that holds the caller's connection. */
  asker: string;
  /** Identifies the request at that gateway. */
  serial: number;
  /** The caller's id for this attempt; used in logs only. */
  attemptId: string;
  workspace: string;
  /** Share of its workspace among those of its urgency; 1 is the usual one. */
  share: number;
  /** Failure domain of that gateway. */
  failureDomain: string;
  /** Priority; 0 is the most urgent. */
  urgency: number;
  /** Exceeds the declared quota of its workspace and was admitted only by the quota tolerance. */
  isBeyondQuota: boolean;
  /** Estimated work, in tokens. */
  workTokens: number;
  promptTokens: number;
  /** Length of the response in tokens, as estimated by the caller. */
  answerTokens: number;
  arrivedMs: number;
  /** Its target has passed: the caller has already been retrying for longer than that. */
  isBelated: boolean;
  /** The first byte is late if it arrives after this time. */
  targetMs: number;
  /** The caller disconnects if it has received no part of the response by this time. */
  leaveMs: number;
  /** Deadline for the complete response. */
  giveUpMs: number;
  /** Backend servers that rejected or failed an earlier attempt of this request. */
  triedIds: ReadonlySet<string>;
  /** Failure domains to which its gateway does not send the request. */
  excludedDomains: ReadonlySet<string>;
  /** The only software version that may continue its stream; undefined if any may run it. */
  softwareVersion: string | undefined;
};
