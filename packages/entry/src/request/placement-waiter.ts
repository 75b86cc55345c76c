import type {Clock} from '@apricotwood/clock';
import {
	PlacementAction, type Placement, type PlacementRequest, type Placer, type WaitingRequests, type Waiter,
} from '@apricotwood/steering';

/** Dependencies of `PlacementWaiter`. */
export type PlacementWaiterDeps = {
	readonly clock: Clock;
	readonly placer: Placer;
	readonly waiting: WaitingRequests<() => void>;
};

/** Places one request, for each of its attempts anew, and lets it wait while no worker has capacity. */
export class PlacementWaiter {
	#isStopped = false;
	#queuedMs = 0;
	#resume: (() => void) | undefined;

	constructor(private readonly deps: PlacementWaiterDeps, private readonly request: Omit<PlacementRequest, 'waitingBefore'>) {}

	/** Time for which the request has waited, ms. */
	get queuedMs(): number {
		return this.#queuedMs;
	}

	/** Ends the wait; the request is not placed any more. */
	stop(): void {
		this.#isStopped = true;
		this.#resume?.();
	}

	/** Chooses a worker; if none has capacity, waits and tries again whenever some may have been freed. @returns `undefined` if the request was stopped. */
	async place(): Promise<Placement | undefined> {
		const {clock, waiting} = this.deps;
		const {service, route: {priority}, targetAtMs, isCallerRetry} = this.request;
		const startAtMs = clock.monotonic();
		let placement = this.#tryPlace(waiting.countBefore(service, priority));
		if (placement?.action !== PlacementAction.Wait || waiting.isFull) {
			return placement;
		}

		const waiter: Waiter<() => void> = {
			item: () => this.#resume?.(), service, priority, targetAtMs, isCallerRetry,
		};
		waiting.add(waiter);
		while (placement?.action === PlacementAction.Wait) {
			await this.#awaitCapacity(); // eslint-disable-line no-await-in-loop
			placement = this.#tryPlace(0);
		}

		waiting.delete(waiter);
		this.#queuedMs += clock.monotonic() - startAtMs;
		return placement;
	}

	#tryPlace(waitingBefore: number): Placement | undefined {
		const {placer, clock} = this.deps;
		return this.#isStopped ? undefined : placer.place({...this.request, waitingBefore}, clock.monotonic());
	}

	async #awaitCapacity(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#resume = resolve;
		});
		this.#resume = undefined;
	}
}
