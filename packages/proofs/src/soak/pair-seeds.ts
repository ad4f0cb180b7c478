/** Seeds of the soak test that play pairs of named faults; a run gets them as `--pair`. */

/** Seeds that were played without a violation, and their pairs in order. */
export const PLAYED: Readonly<Record<number, readonly string[]>> = {
  8001: [
    'second response + odd headers',
    'server crashes + store link blocked',
    'slow link to a server + planned stop',
    'response without a length + callers silent',
  ],
  8002: [
    'slow link to a server + odd headers',
    'entry says draining + slow store link',
    'store silent + store link blocked',
    'callers reset + server crashes',
  ],
  8003: [
    'callers silent + store connection silent',
    'callers reset + large configurations',
    'store silent + series of configurations',
    'gateway killed + odd headers',
  ],
  8004: [
    'rate limit of a server + domain evacuated',
    'callers silent + slow store link',
    'response without a length + odd foreign entry',
    'callers reset + server restarts under its id',
  ],
  8005: [
    'store connection silent + key revoked',
    'malformed entry + odd headers',
    'server connections reset + malformed entry',
    'store connection silent + planned stop',
  ],
  8006: [
    'server connections reset + store silent',
    'malformed entry + store refuses',
    'processor quota + bytes that are no request',
    'responses of a server lost + entry says draining',
  ],
  8007: [
    'server states that it leaves + odd datagram',
    'slow link to a server + gateway suspended',
    'odd foreign entry + gateway killed',
    'second response + slow link to callers',
  ],
  8008: [
    'store link reset + series of configurations',
    'callers reset + store silent',
    'server asks for a backoff + large configurations',
    'slow link to callers + store restored',
  ],
  8009: [
    'store silent + key revoked',
    'store connection silent + planned stop',
    'server crashes + bytes that are no request',
    'server states that it leaves + settings reloaded',
  ],
  8010: [
    'slow link to a server + gateway killed',
    'server restarts under its id + bytes that are no request',
    'second response + gateway suspended',
    'store restored + store link blocked',
  ],
};
