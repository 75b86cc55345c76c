import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {jitter, type Clock, type Random} from '@apricotwood/clock';

/** State of a `CircuitBreaker`. */
export enum BreakerState {
	Closed = 'closed',
	Open = 'open',
	/** One probe call is in flight; its result closes or reopens the breaker. */
	HalfOpen = 'trying',
}

enum BreakerEvent {
	Trip = 'trip',
	Probe = 'try',
	Close = 'close',
}

/** Consecutive failures that open the breaker. */
const FAILURE_THRESHOLD = 3;
/** Cooldown after the breaker opens; doubles with each further failure. */
const INITIAL_COOLDOWN_MS = 250;
/** Upper bound of the cooldown before jitter. */
const MAX_COOLDOWN_MS = 5000;
/** Largest deviation by jitter, as a fraction of the cooldown. */
const COOLDOWN_JITTER_RATIO = 0.5;

const breakerMachine = createMachine(BreakerState.Closed, {
	[BreakerState.Closed]: state(transition(BreakerEvent.Trip, BreakerState.Open)),
	[BreakerState.Open]: state(transition(BreakerEvent.Probe, BreakerState.HalfOpen)),
	[BreakerState.HalfOpen]: state(
		transition(BreakerEvent.Trip, BreakerState.Open),
		transition(BreakerEvent.Close, BreakerState.Closed),
	),
});

/** Circuit breaker: rejects calls after consecutive failures until a cooldown with exponential backoff and jitter has elapsed. */
export class CircuitBreaker {
	readonly #machineInstance = interpret(breakerMachine, () => {});

	#consecutiveFailures = 0;
	#cooldownMs = INITIAL_COOLDOWN_MS;
	#retryAtMs = 0;

	constructor(private readonly clock: Clock, private readonly random: Random) {}

	get state(): BreakerState {
		return this.#machineInstance.machine.current as BreakerState;
	}

	/** Whether a call may be made now. An open breaker admits one probe call after its cooldown and is half-open until the result is recorded. */
	tryAdmit(): boolean {
		if (this.state === BreakerState.Closed) {
			return true;
		}

		if (this.state === BreakerState.HalfOpen || this.clock.monotonic() < this.#retryAtMs) {
			return false;
		}

		this.#machineInstance.send(BreakerEvent.Probe);
		return true;
	}

	recordSuccess(): void {
		this.#consecutiveFailures = 0;
		this.#cooldownMs = INITIAL_COOLDOWN_MS;
		this.#machineInstance.send(BreakerEvent.Close);
	}

	recordFailure(): void {
		this.#consecutiveFailures++;
		if (this.state === BreakerState.Closed && this.#consecutiveFailures < FAILURE_THRESHOLD) {
			return;
		}

		this.#retryAtMs = this.clock.monotonic() + jitter(this.random, this.#cooldownMs, COOLDOWN_JITTER_RATIO);
		this.#cooldownMs = Math.min(MAX_COOLDOWN_MS, this.#cooldownMs * 2);
		this.#machineInstance.send(BreakerEvent.Trip);
	}
}
