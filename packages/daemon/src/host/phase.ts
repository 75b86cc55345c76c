import {
	createMachine, interpret, state, transition,
} from 'robot3';

/** Lifecycle phase of a host. */
export enum HostPhase {
	/** No agreement has been applied yet. */
	Starting = 'starting',
	/** Serves requests and is returned by lookups. */
	Ready = 'ready',
	/** Lookups no longer return the host; it still serves callers that have a cached lookup result. */
	Draining = 'draining',
	/** Rejects new requests; in-flight requests finish. */
	Stopping = 'stopping',
	/** No request is in flight. */
	Stopped = 'stopped',
}

/** Event that causes a phase transition. */
export enum HostEvent {
	/** An agreement version was applied. */
	AgreementInForce = 'agreement-in-force',
	/** The host is to shut down. */
	Drain = 'drain',
	/** The last cached lookup result that contains this host has expired. */
	AnswersExpired = 'answers-expired',
	/** The last in-flight request has ended. */
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

/** State machine of a host's lifecycle. Events without a transition from the current phase are ignored. */
export class HostLifecycle {
	readonly #service;

	/** @param onChange called with the new phase after each transition. */
	constructor(onChange: (phase: HostPhase) => void) {
		this.#service = interpret(machine, () => {
			onChange(this.phase);
		});
	}

	get phase(): HostPhase {
		return this.#service.machine.current as HostPhase;
	}

	/** Whether new requests are accepted. */
	get isServing(): boolean {
		return this.phase === HostPhase.Ready || this.phase === HostPhase.Draining;
	}

	/** Whether the host serves no more requests, so that its callers are to use other connections. */
	get isStopping(): boolean {
		return this.phase === HostPhase.Stopping || this.phase === HostPhase.Stopped;
	}

	send(event: HostEvent): void {
		this.#service.send(event);
	}
}
