import {
	createMachine, interpret, state, transition,
} from 'robot3';

/** Where one attempt at an upstream is. */
export enum AttemptPhase {
	/** Waits for a connection; no byte has left. */
	Connecting = 'connecting',
	/** Bytes may have left. */
	Sent = 'sent',
	/** The answer has begun. */
	Answering = 'answering',
	Whole = 'whole',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

/** What moves an attempt from one phase to another. */
export enum AttemptEvent {
	Send = 'send',
	Answer = 'answer',
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
		transition(AttemptEvent.Answer, AttemptPhase.Answering),
		transition(AttemptEvent.Fail, AttemptPhase.Failed),
		transition(AttemptEvent.Cancel, AttemptPhase.Cancelled),
	),
	[AttemptPhase.Answering]: state(
		transition(AttemptEvent.End, AttemptPhase.Whole),
		transition(AttemptEvent.Fail, AttemptPhase.Failed),
		transition(AttemptEvent.Cancel, AttemptPhase.Cancelled),
	),
	[AttemptPhase.Whole]: state(),
	[AttemptPhase.Failed]: state(),
	[AttemptPhase.Cancelled]: state(),
});

/** An attempt's life-cycle. */
export class AttemptLifecycle {
	readonly #service = interpret(machine, () => {});

	get phase(): AttemptPhase {
		return this.#service.machine.current as AttemptPhase;
	}

	/** Whether the attempt has ended, one way or the other. */
	get isOver(): boolean {
		const {phase} = this;
		return phase === AttemptPhase.Whole || phase === AttemptPhase.Failed || phase === AttemptPhase.Cancelled;
	}

	/** @returns whether the event fitted the phase. */
	send(event: AttemptEvent): boolean {
		const before = this.phase;
		this.#service.send(event);
		return this.phase !== before;
	}
}
