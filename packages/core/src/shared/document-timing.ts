/** Times and limits of a document, with the defaults for those it leaves out. */
import * as schema from '@toucanproxy/schema';

export const { DEFAULT_LIMITS, DEFAULT_TIMING, getLimits, getTiming } = schema;
export type Limits = schema.EffectiveLimits;
export type Timing = schema.EffectiveTiming;
