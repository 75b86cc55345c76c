import {createMachine, state, transition} from 'robot3';
import {readTransitions} from '../host/steps.js';

/** Phase of one attempt. */
export enum AttemptPhase {
	/** Waiting for a connection; no bytes have been sent. */
	Connecting = 'connecting',
	/** Bytes may have been sent. */
	Sent = 'sent',
	/** The response has started. */
	Responding = 'answering',
	Complete = 'whole',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

/** Event that changes the phase of an attempt. */
export enum AttemptEvent {
	Send = 'send',
	Respond = 'answer',
	End = 'end',
	Fail = 'fail',
	Cancel = 'cancel',
}

const machine = createMachine(AttemptPhase.Connecting, {
	[AttemptPhase.Connecting]: state(
		transition(AttemptEvent.Send, AttemptPhase.Sent),
		transition(AttemptEvent.Fail, AttemptPhase.Failed),
		transition(AttemptEvent.Cancel, AttemptPhase.Cancelled),
	),
	[AttemptPhase.Sent]: state(
		transition(AttemptEvent.Respond, AttemptPhase.Responding),
		transition(AttemptEvent.Fail, AttemptPhase.Failed),
		transition(AttemptEvent.Cancel, AttemptPhase.Cancelled),
	),
	[AttemptPhase.Responding]: state(
		transition(AttemptEvent.End, AttemptPhase.Complete),
		transition(AttemptEvent.Fail, AttemptPhase.Failed),
		transition(AttemptEvent.Cancel, AttemptPhase.Cancelled),
	),
	[AttemptPhase.Complete]: state(),
	[AttemptPhase.Failed]: state(),
	[AttemptPhase.Cancelled]: state(),
});

/** Transitions by phase and event. */
const transitionTable = readTransitions<AttemptPhase, AttemptEvent>(machine);

/** State machine of one attempt. Uses a transition table instead of interpreting the machine, because there is one per attempt. */
export class AttemptLifecycle {
	#phase = AttemptPhase.Connecting;

	get phase(): AttemptPhase {
		return this.#phase;
	}

	/** @returns whether the event is valid in the current phase. */
	send(event: AttemptEvent): boolean {
		const next = transitionTable.get(this.#phase)?.get(event);
		if (next === undefined) {
			return false;
		}

		this.#phase = next;
		return true;
	}
}
