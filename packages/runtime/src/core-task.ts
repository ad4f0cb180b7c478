/**
 * Event loop around the state of a core. Other tasks post events; the core task applies them one
 * at a time and executes the resulting effects.
 */

/** Interval of ticks, milliseconds; limits the delay of what becomes due by time. */
const TICK_MS = 50;

export type CoreTask<Event, Effect> = {
  /** Adds an event; it is applied before `post` returns, unless another event is being applied. */
  post: (event: Event) => void;
  /** Starts applying events, beginning with those posted earlier. */
  start: (executeEffect: (effect: Effect) => void) => void;
  stop: () => void;
};

type CoreTaskOptions<State, Event, Effect> = {
  state: State;
  handleEvent: (state: State, event: Event, now: number) => Effect[];
  readClock: () => number;
  buildTick: () => Event;
};

/** Creates a core task; events are kept until it is started. */
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
