/** Contains exceptions that are thrown while an event is handled, also in handlers of libraries. */
import type * as events from 'node:events';

/** Runs a step; if it throws, reports that and returns what `recover` returns. */
export type RunContained = <T>(step: () => T, recover: () => T) => T;

type EventValues = readonly unknown[];
type Emit = (name: string | symbol, ...values: EventValues) => boolean;

/**
 * Runs all events of an emitter contained. After an exception, no further handler of the event runs.
 *
 * @param handleFailure called after an exception
 * @param convert converts what the handlers of an event get
 */
export function runEventsContained(
  emitter: events.EventEmitter,
  runContained: RunContained,
  handleFailure: (name: string | symbol, values: EventValues) => void,
  convert: (name: string | symbol, values: EventValues) => EventValues = (_, values) => values,
): void {
  const emit: Emit = emitter.emit.bind(emitter);
  const emitContained: Emit = (name, ...values) =>
    runContained(
      () => emit(name, ...convert(name, values)),
      () => {
        handleFailure(name, values);
        return true;
      },
    );
  emitter.emit = emitContained;
}
