import {
	createMachine, interpret, state, transition,
} from 'robot3';

/** Where this host is in its life. */
export enum HostPhase {
	/** Has no agreement in force yet. */
	Starting = 'starting',
	Ready = 'ready',
	/** Leaves: look-ups no longer name it; it still serves those who were sent to it. */
	Draining = 'draining',
	/** Serves nothing new; running requests finish. */
	Stopping = 'stopping',
	Stopped = 'stopped',
}

/** What moves a host from one phase to another. */
export enum HostEvent {
	AgreementInForce = 'agreement-in-force',
	Drain = 'drain',
	/** The longest look-up answer that names this host has expired. */
	AnswersExpired = 'answers-expired',
	Idle = 'idle',
}

const machine = createMachine(HostPhase.Starting, {
	[HostPhase.Starting]: state(
		transition(HostEvent.AgreementInForce, HostPhase.Ready),
		transition(HostEvent.Drain, HostPhase.Stopping),
	),
	[HostPhase.Ready]: state(transition(HostEvent.Drain, HostPhase.Draining)),
	[HostPhase.Draining]: state(transition(HostEvent.AnswersExpired, HostPhase.Stopping)),
	[HostPhase.Stopping]: state(transition(HostEvent.Idle, HostPhase.Stopped)),
	[HostPhase.Stopped]: state(),
});

/** This host's life-cycle; events that do not fit the phase change nothing. */
export class HostLifecycle {
	readonly #service;

	/** @param onChange called with the new phase after each change. */
	constructor(onChange: (phase: HostPhase) => void) {
		this.#service = interpret(machine, () => {
			onChange(this.phase);
		});
	}

	get phase(): HostPhase {
		return this.#service.machine.current as HostPhase;
	}

	/** Whether requests are taken. */
	get isServing(): boolean {
		return this.phase === HostPhase.Ready || this.phase === HostPhase.Draining;
	}

	send(event: HostEvent): void {
		this.#service.send(event);
	}
}
