import {
	createMachine, interpret, state, transition,
} from 'robot3';

/** Lifecycle phase of an entry host. Only a ready host is advertised to callers, except that a host that knows no ready host offers itself (see `EntryHost.findHosts`). */
export enum HostPhase {
	/** Loads its configuration and workers. */
	Loading = 'loading',
	/** Advertised to callers and serving. */
	Ready = 'ready',
	/** Announces its shutdown and still serves. */
	Leaving = 'leaving',
	/** Accepts no new connections; in-flight requests finish. */
	Closing = 'closing',
}

/** Event that moves a host to its next phase. */
export enum HostEvent {
	Loaded = 'load',
	Leave = 'leave',
	Close = 'close',
}

const machine = createMachine(HostPhase.Loading, {
	[HostPhase.Loading]: state(
		transition(HostEvent.Loaded, HostPhase.Ready),
		transition(HostEvent.Leave, HostPhase.Leaving),
	),
	[HostPhase.Ready]: state(transition(HostEvent.Leave, HostPhase.Leaving)),
	[HostPhase.Leaving]: state(transition(HostEvent.Close, HostPhase.Closing)),
	[HostPhase.Closing]: state(),
});

/** State machine of a host's lifecycle. Events that are not valid in the current phase are ignored. */
export class HostLifecycle {
	readonly #service = interpret(machine, () => {});

	get phase(): HostPhase {
		return this.#service.machine.current as HostPhase;
	}

	send(event: HostEvent): void {
		this.#service.send(event);
	}
}
