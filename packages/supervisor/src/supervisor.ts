import {setMaxListeners} from 'node:events';
import {
	createMachine, interpret, state, transition,
} from 'robot3';
import VError from 'verror';
import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';

/** A supervised task that runs until its signal is aborted. */
export type Child = {
	readonly name: string;
	/** Runs the task; must return soon after the signal is aborted. A rejection counts as a failure and leads to a restart. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Lifecycle state of a child. */
export enum ChildState {
	Running = 'running',
	/** Failed; waiting for the backoff to elapse before a restart. */
	BackingOff = 'backing-off',
	Stopped = 'stopped',
	/** Reached the failure limit; not restarted. */
	Failed = 'given-up',
}

enum ChildEvent {
	Fail = 'fail',
	Restart = 'restart',
	Stop = 'stop',
	ReachFailureLimit = 'give-up',
}

const childMachine = createMachine(ChildState.Running, {
	[ChildState.Running]: state(
		transition(ChildEvent.Fail, ChildState.BackingOff),
		transition(ChildEvent.Stop, ChildState.Stopped),
	),
	[ChildState.BackingOff]: state(
		transition(ChildEvent.Restart, ChildState.Running),
		transition(ChildEvent.Stop, ChildState.Stopped),
		transition(ChildEvent.ReachFailureLimit, ChildState.Failed),
	),
	[ChildState.Stopped]: state(),
	[ChildState.Failed]: state(),
});

/** Options of a `Supervisor`. */
export type SupervisorOptions = {
	/** Prefix of the error message when a child reaches the failure limit. */
	readonly name: string;
	readonly clock: Clock;
	readonly random: Random;
	/** Called for each failure that is followed by a restart; `restartInMs` is the backoff before it. */
	readonly onFailure: (child: string, error: Error, restartInMs: number) => void;
	/** Number of failures within `windowMs` at which a child is not restarted. @default 5 */
	readonly maxFailures?: number;
	/** Sliding window in which failures are counted, ms. @default 60000 */
	readonly windowMs?: number;
};

const DEFAULT_MAX_FAILURES = 5;
const DEFAULT_WINDOW_MS = 60_000;
/** Backoff before the first restart; doubles with each further failure in the window. */
const INITIAL_BACKOFF_MS = 100;
/** Upper bound of the backoff before jitter. */
const MAX_BACKOFF_MS = 10_000;
/** Largest deviation by jitter, as a fraction of the backoff. */
const BACKOFF_JITTER_RATIO = 0.3;

/**
 * Runs children and restarts a failed one after an exponential backoff. When a
 * child reaches the failure limit, `run` throws, and a parent supervisor treats
 * this as the failure of one child. Supervisors can therefore form a tree.
 */
export class Supervisor {
	readonly #states = new Map<string, () => ChildState>();

	constructor(private readonly options: SupervisorOptions) {}

	/** Returns the phase of each child by name. */
	getStates(): Map<string, ChildState> {
		return new Map(Array.from(this.#states, ([name, getState]) => [name, getState()]));
	}

	/**
	 * Runs all children until each has returned; aborting `signal` stops them.
	 * @throws {VError} when a child reaches the failure limit, after the other children have stopped.
	 */
	async run(children: readonly Child[], signal: AbortSignal): Promise<void> {
		const stop = new AbortController();
		const combinedSignal = AbortSignal.any([signal, stop.signal]);
		setMaxListeners(0, combinedSignal);
		let failure: Error | undefined;
		const runs = children.map(async child => {
			try {
				await this.#supervise(child, combinedSignal);
			} catch (error) {
				failure ??= error as Error;
				stop.abort();
			}
		});
		await Promise.all(runs);
		if (failure) {
			throw failure;
		}
	}

	async #supervise(child: Child, signal: AbortSignal): Promise<void> {
		const machineInstance = interpret(childMachine, () => {});
		this.#states.set(child.name, () => machineInstance.machine.current as ChildState);
		const failures: number[] = [];
		while (!signal.aborted) {
			const error = await runOnce(child, signal); // eslint-disable-line no-await-in-loop
			if (!error) {
				break;
			}

			machineInstance.send(ChildEvent.Fail);
			failures.push(this.options.clock.monotonic());
			if (this.#hasReachedFailureLimit(failures)) {
				machineInstance.send(ChildEvent.ReachFailureLimit);
				throw new VError({name: 'ChildGivenUp', cause: error}, '%s: child "%s" failed %d times and was given up', this.options.name, child.name, failures.length);
			}

			const delayMs = this.#calculateBackoffMs(failures.length);
			this.options.onFailure(child.name, error, delayMs);
			await sleep(this.options.clock, delayMs, signal); // eslint-disable-line no-await-in-loop
			machineInstance.send(ChildEvent.Restart);
		}

		machineInstance.send(ChildEvent.Stop);
	}

	/** Removes failures outside the window, then checks the rest against the limit. @param failures monotonic ms, ascending; modified. */
	#hasReachedFailureLimit(failures: number[]): boolean {
		const windowStartMs = this.options.clock.monotonic() - (this.options.windowMs ?? DEFAULT_WINDOW_MS);
		while (failures[0] !== undefined && failures[0] < windowStartMs) {
			failures.shift();
		}

		return failures.length >= (this.options.maxFailures ?? DEFAULT_MAX_FAILURES);
	}

	#calculateBackoffMs(failures: number): number {
		const delayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * (2 ** (failures - 1)));
		return jitter(this.options.random, delayMs, BACKOFF_JITTER_RATIO);
	}
}

/** Runs a child once. @returns the error if it failed; `undefined` if it returned, or threw after the signal was aborted. */
async function runOnce(child: Child, signal: AbortSignal): Promise<Error | undefined> {
	try {
		await child.run(signal);
		return undefined;
	} catch (error) {
		if (signal.aborted) {
			return undefined;
		}

		return error instanceof Error ? error : new VError('%s', String(error));
	}
}
