/** Draws the requests of a replay: sound ones, and those with the part that crashes servers. */
import * as proofs from '@toucanproxy/proofs';

export type Setting = {
  name: string;
  gateways: number;
  servers: number;
  slots: number;
  durationMs: number;
  /** Requests with the crashing part that arrive together; none if undefined. */
  crashingAtOnce?: number;
  /** Requests a second with the crashing part. */
  crashingPerSecond?: number;
  isCauseFirst?: boolean;
  /** Workspaces that send the crashing part. */
  crashingWorkspaces?: number;
  /** Ended servers fall silent instead of resetting connections. */
  isSilent?: boolean;
  /** When half of the gateways start anew, milliseconds. */
  restartMs?: number;
  /** Servers that end without a cause, as a share of the fleet, and how often, milliseconds. */
  noise?: { share: number; everyMs: number };
};

export type Request = {
  /** When it arrives, milliseconds. */
  atMs: number;
  gateway: number;
  /** The ids of all parts of the prompt but the last, which is the request's own. */
  parts: readonly string[];
  isCrashing: boolean;
  runMs: number;
  attempts: number;
  isTrial: boolean;
};

export const CAUSE = 'cause';
/** When the first request with the crashing part arrives, milliseconds. */
const CAUSE_FROM_MS = 2000;
const DEFAULT_CRASHING_PER_SECOND = 5;
/** Share of all slots that sound requests occupy. */
const LOAD = 0.55;
const WORKSPACES = 4;
const SESSIONS = 60;
/** Share of requests that are the first of their session. */
const NEW_SESSION_SHARE = 0.15;
const DOCUMENT_SHARE = 0.3;
const DOCUMENTS = 1000;
/** Bounds of the time that a run takes, milliseconds. */
const RUN_MS: [number, number] = [100, 3000];
const SECOND_MS = 1000;

/** Draws the time of a run, milliseconds: short runs are frequent. */
function drawRunMs(draw: proofs.DrawRandom): number {
  const [low, high] = RUN_MS;
  return low * (high / low) ** draw();
}

/** Creates a function that draws the parts after the workspace: the session, at times a document. */
function createSessions(draw: proofs.DrawRandom): () => string[] {
  let begun = SESSIONS;
  const sessions = Array.from({ length: SESSIONS }, (_, index) => `s${index}`);
  return () => {
    const at = Math.floor(draw() * SESSIONS);
    if (draw() < NEW_SESSION_SHARE) {
      sessions[at] = `s${begun}`;
      begun += 1;
    }
    const documents =
      draw() < DOCUMENT_SHARE ? [`d${Math.floor(DOCUMENTS * draw() * draw())}`] : [];
    return [sessions[at], ...documents];
  };
}

/** Draws the requests of a setting. */
export function drawRequests(setting: Setting, seed: number): Request[] {
  const draw = proofs.createRandomSource(seed);
  const drawSession = createSessions(draw);
  const [low, high] = RUN_MS;
  const meanRunMs = (high - low) / Math.log(high / low);
  const sound = {
    perMs: (setting.servers * setting.slots * LOAD) / meanRunMs,
    atOnce: 1,
    fromMs: 0,
  };
  const atOnce = setting.crashingAtOnce ?? 0;
  const perSecond = setting.crashingPerSecond ?? DEFAULT_CRASHING_PER_SECOND;
  const crashing = { perMs: perSecond / SECOND_MS, atOnce, fromMs: CAUSE_FROM_MS };
  return [sound, crashing].flatMap((source) => {
    const requests: Request[] = [];
    const isCrashing = source === crashing;
    for (let atMs = source.fromMs; source.atOnce > 0 && atMs < setting.durationMs;) {
      for (let one = 0; one < source.atOnce; one += 1) {
        const workspaces = isCrashing ? (setting.crashingWorkspaces ?? 1) : WORKSPACES;
        const shared = isCrashing && setting.isCauseFirst ? [CAUSE] : ['first'];
        const beside = isCrashing && !setting.isCauseFirst ? [CAUSE] : [];
        const workspace = `w${Math.floor(draw() * workspaces)}`;
        const parts = [...shared, workspace, ...beside, ...drawSession()];
        const gateway = Math.floor(draw() * setting.gateways);
        const runMs = drawRunMs(draw);
        requests.push({ atMs, gateway, parts, isCrashing, runMs, attempts: 0, isTrial: false });
      }
      atMs += (-Math.log(1 - draw()) * source.atOnce) / source.perMs;
    }
    return requests;
  });
}
