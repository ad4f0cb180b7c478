/** Timing and limits of a document, with defaults for omitted values. */
import * as schema from '@toucanproxy/schema';

export const { DEFAULT_LIMITS, DEFAULT_TIMING, getLimits, getTiming } = schema;
export type Limits = schema.EffectiveLimits;
export type Timing = schema.EffectiveTiming;
