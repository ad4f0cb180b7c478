/**
 * The task that owns a core's state. Other tasks post events to it; it applies
 * them one by one and hands the effects on.
 */

/** Milliseconds between ticks; what is due by time alone is late by this much at most. */
const TICK_MS = 50;

export type CoreTask<Event, Effect> = {
  /** Applies the event before it returns, unless another is being applied. */
  post: (event: Event) => void;
  /** Begins to apply events; those posted before are applied first. */
  start: (executeEffect: (effect: Effect) => void) => void;
  stop: () => void;
};

type CoreTaskOptions<State, Event, Effect> = {
  state: State;
  handleEvent: (state: State, event: Event, now: number) => Effect[];
  readClock: () => number;
  buildTick: () => Event;
};

/** Creates a core task; it holds its events back until it is started. */
export function createCoreTask<State, Event, Effect>(
  options: CoreTaskOptions<State, Event, Effect>,
): CoreTask<Event, Effect> {
  const pending: Event[] = [];
  let execute: ((effect: Effect) => void) | undefined;
  let timer: NodeJS.Timeout | undefined;
  let draining = false;

  const drain = () => {
    if (draining || execute === undefined) {
      return;
    }
    draining = true;
    try {
      while (pending.length > 0) {
        const event = pending.shift() as Event;
        const effects = options.handleEvent(options.state, event, options.readClock());
        effects.forEach(execute);
      }
    } finally {
      draining = false;
    }
  };
  const post = (event: Event) => {
    pending.push(event);
    drain();
  };
  return {
    post,
    start: (executeEffect) => {
      execute = executeEffect;
      timer = setInterval(() => post(options.buildTick()), TICK_MS);
      drain();
    },
    stop: () => clearInterval(timer),
  };
}
