import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {jitter, type Clock, type Random} from '@apricotwood/clock';

/** Whether calls go through. */
export enum BreakerState {
	Closed = 'closed',
	Open = 'open',
	/** One call goes through to see whether the platform is back. */
	Trying = 'trying',
}

enum BreakerEvent {
	Trip = 'trip',
	Try = 'try',
	Close = 'close',
}

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 5000;
const PAUSE_JITTER = 0.5;

const machine = createMachine(BreakerState.Closed, {
	[BreakerState.Closed]: state(transition(BreakerEvent.Trip, BreakerState.Open)),
	[BreakerState.Open]: state(transition(BreakerEvent.Try, BreakerState.Trying)),
	[BreakerState.Trying]: state(
		transition(BreakerEvent.Trip, BreakerState.Open),
		transition(BreakerEvent.Close, BreakerState.Closed),
	),
});

/** Circuit breaker: after failures in a row it lets no call through until a jittered, growing pause has passed. */
export class Breaker {
	readonly #service = interpret(machine, () => {});

	#failures = 0;
	#pauseMs = FIRST_PAUSE_MS;
	#retryAtMs = 0;

	constructor(private readonly clock: Clock, private readonly random: Random) {}

	get state(): BreakerState {
		return this.#service.machine.current as BreakerState;
	}

	/** Whether a call may go through now; an open breaker lets one through once its pause has passed. */
	admit(): boolean {
		if (this.state === BreakerState.Closed) {
			return true;
		}

		if (this.state === BreakerState.Trying || this.clock.monotonic() < this.#retryAtMs) {
			return false;
		}

		this.#service.send(BreakerEvent.Try);
		return true;
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#pauseMs = FIRST_PAUSE_MS;
		this.#service.send(BreakerEvent.Close);
	}

	recordFailure(): void {
		this.#failures++;
		if (this.state === BreakerState.Closed && this.#failures < FAILURES_TO_OPEN) {
			return;
		}

		this.#retryAtMs = this.clock.monotonic() + jitter(this.random, this.#pauseMs, PAUSE_JITTER);
		this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
		this.#service.send(BreakerEvent.Trip);
	}
}
