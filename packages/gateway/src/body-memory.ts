/** Keeps the bytes of requests within the budget; requests for which there is no room wait. */
import * as gateway from '@toucanproxy/core/gateway';
import * as bodyGarbage from './body-garbage.js';
import type * as clocks from './clocks.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as failureGuard from './failure-guard.js';
import type * as wireProtocol from './wire-protocol.js';

export type BodyMemory = {
  /** Takes bytes for headers or a small body; returns false if there is no room. */
  takeSmall: (bytes: number) => boolean;
  releaseSmall: (bytes: number) => void;
  /** Creates the claim of a request with a large body; it holds nothing yet. */
  createClaim: (target: string, headers: wireProtocol.RawHeaders) => gateway.BodyClaim;
  /** Asks for more bytes; `settle` is called with whether they are granted, at once or later. */
  request: (
    claim: gateway.BodyClaim,
    bytes: number,
    settle: (isGranted: boolean) => void,
  ) => gateway.BodyDecision;
  /** Gives back a part of what a claim holds. */
  releasePart: (claim: gateway.BodyClaim, bytes: number) => void;
  release: (claim: gateway.BodyClaim) => void;
  /** Counts bytes that were read from a connection and copied or dropped. */
  noteCopied: (bytes: number) => void;
  buildRefusal: () => gateway.Refusal;
};

type Dependencies = {
  state: gateway.GatewayState;
  protocol: Pick<wireProtocol.WireProtocol, 'parseRequestHeaders'>;
  readClocks: clocks.ReadClocks;
  runGuarded: failureGuard.RunGuarded;
};

/** Interval at which waiting claims are checked, milliseconds. */
const CHECK_MS = 50;
const QUERY_START = '?';

/** Finds in whose share a request counts. */
function findHolder(
  { state, protocol, readClocks }: Dependencies,
  target: string,
  headers: wireProtocol.RawHeaders,
): gateway.BodyHolder {
  const { credential } = protocol.parseRequestHeaders(headers) ?? {};
  const host = endToEndHeaders.findHeader(headers, 'host') ?? '';
  const [path] = target.split(QUERY_START);
  return gateway.findBodyHolder(state, { host, path, credential }, readClocks());
}

/**
 * Tells a claim whether it is granted. An exception concerns the claim, not the caller whose event has
 * made room for it; a request that cannot take what it is granted is refused.
 */
function notifyClaim(
  runGuarded: failureGuard.RunGuarded,
  settler: (isGranted: boolean) => void,
  isGranted: boolean,
): void {
  const { CALLER } = failureGuard.WorkUnit;
  runGuarded(
    CALLER,
    () => settler(isGranted),
    () => {
      if (isGranted) {
        notifyClaim(runGuarded, settler, false);
      }
    },
  );
}

/** Creates the memory of one gateway. */
export function createBodyMemory(dependencies: Dependencies): BodyMemory {
  const { state, readClocks, runGuarded } = dependencies;
  const { bodies } = state;
  const garbage = bodyGarbage.createBodyGarbage(globalThis.gc);
  const settlers = new Map<gateway.BodyClaim, (isGranted: boolean) => void>();
  let timer: NodeJS.Timeout | undefined;
  const settle = (claim: gateway.BodyClaim, isGranted: boolean) => {
    const settler = settlers.get(claim);
    settlers.delete(claim);
    if (settler !== undefined) {
      notifyClaim(runGuarded, settler, isGranted);
    }
  };
  const advance = () => {
    if (bodies.waiting.size > 0) {
      const { granted, expired } = gateway.advanceClaims(bodies, readClocks().steadyMs);
      granted.forEach((claim) => settle(claim, true));
      expired.forEach((claim) => settle(claim, false));
    }
    if (bodies.waiting.size === 0) {
      clearInterval(timer);
      timer = undefined;
    }
  };
  return {
    takeSmall: (bytes) => gateway.takeSmall(bodies, bytes),
    releaseSmall: (bytes) => {
      gateway.releaseSmall(bodies, bytes);
      if (bodies.waiting.size > 0) {
        advance();
      }
    },
    createClaim: (target, headers) =>
      gateway.createClaim(findHolder(dependencies, target, headers)),
    request: (claim, bytes, settler) => {
      const decision = gateway.claimBytes(bodies, claim, bytes, readClocks().steadyMs);
      if (decision === gateway.BodyDecision.WAITING) {
        settlers.set(claim, settler);
        timer ??= setInterval(advance, CHECK_MS);
      } else {
        settler(decision === gateway.BodyDecision.ADMITTED);
      }
      return decision;
    },
    releasePart: (claim, bytes) => {
      gateway.releaseBytes(bodies, claim, bytes);
      advance();
    },
    release: (claim) => {
      settlers.delete(claim);
      garbage.noteReleased(claim.heldBytes);
      gateway.releaseClaim(bodies, claim, readClocks().steadyMs);
      advance();
    },
    noteCopied: garbage.noteCopied,
    buildRefusal: () => gateway.buildBodyRefusal(bodies, state.drawRandom),
  };
}
