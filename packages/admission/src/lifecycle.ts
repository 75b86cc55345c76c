import {
	createMachine, interpret, state, transition,
} from 'robot3';

/** Where a worker is in its life on this host. */
export enum WorkerPhase {
	/** New, or back after a failure: takes work on a ramp. */
	Joining = 'joining',
	Serving = 'serving',
	/** Failed to connect; takes no work until its back-off has passed. */
	Suspect = 'suspect',
	/** Leaves: running requests finish, nothing new starts. */
	Leaving = 'leaving',
	Gone = 'gone',
}

/** What moves a worker from one phase to another. */
export enum WorkerEvent {
	Ready = 'ready',
	Fail = 'fail',
	Recover = 'recover',
	Leave = 'leave',
	Return = 'return',
	Idle = 'idle',
}

const phaseMachine = createMachine(WorkerPhase.Joining, {
	[WorkerPhase.Joining]: state(
		transition(WorkerEvent.Ready, WorkerPhase.Serving),
		transition(WorkerEvent.Fail, WorkerPhase.Suspect),
		transition(WorkerEvent.Leave, WorkerPhase.Leaving),
	),
	[WorkerPhase.Serving]: state(
		transition(WorkerEvent.Fail, WorkerPhase.Suspect),
		transition(WorkerEvent.Leave, WorkerPhase.Leaving),
	),
	[WorkerPhase.Suspect]: state(
		transition(WorkerEvent.Recover, WorkerPhase.Joining),
		transition(WorkerEvent.Leave, WorkerPhase.Leaving),
	),
	[WorkerPhase.Leaving]: state(
		transition(WorkerEvent.Return, WorkerPhase.Joining),
		transition(WorkerEvent.Idle, WorkerPhase.Gone),
	),
	[WorkerPhase.Gone]: state(transition(WorkerEvent.Return, WorkerPhase.Joining)),
});

/** A worker's life-cycle; events that do not fit the phase change nothing. */
export class WorkerLifecycle {
	readonly #service;

	/** @param onChange called with the new phase after each change. */
	constructor(onChange: (phase: WorkerPhase) => void = () => {}) {
		this.#service = interpret(phaseMachine, () => {
			onChange(this.phase);
		});
	}

	get phase(): WorkerPhase {
		return this.#service.machine.current as WorkerPhase;
	}

	/** Whether new work may start. */
	get canAcceptWork(): boolean {
		return this.phase === WorkerPhase.Serving || this.phase === WorkerPhase.Joining;
	}

	send(event: WorkerEvent): void {
		this.#service.send(event);
	}
}
