import type {Clock} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import {RenewResult} from '../control/membership.js';
import type {HostComponents} from './components.js';
import type {HostLifecycle} from './phase.js';
import {toleratePlatformErrors} from './platform-errors.js';

/** Demand that changes by more than this factor is published before the next lease renewal is due. */
const DEMAND_CHANGE_FACTOR = 1.5;

/** Dependencies of {@link OwnLease}. */
export type OwnLeaseDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: HostLifecycle;
	readonly components: Pick<HostComponents, 'demand' | 'fence' | 'guard' | 'membership'>;
	/** Time between two renewals, ms. */
	readonly intervalMs: number;
	/** Called when another process has registered with this host's id. */
	readonly onReplaced: () => void;
};

/** The lease of this host at the platform, with its phase and demand: renewed in time, and when the demand changes. */
export class OwnLease {
	#lastDemand: Record<string, number> = {};
	#lastWriteMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: OwnLeaseDeps) {}

	/** Whether it has been written once. */
	get isWritten(): boolean {
		return this.#lastWriteMs !== Number.NEGATIVE_INFINITY;
	}

	/** Renews the lease if it is due or the demand has changed. @throws {PlatformError} if the platform does not reply. */
	async renewIfDue(): Promise<void> {
		const {clock, intervalMs, components} = this.deps;
		const demand = components.demand.sample();
		const isDue = clock.monotonic() - this.#lastWriteMs >= intervalMs;
		if (!isDue && !hasDemandChanged(this.#lastDemand, demand)) {
			return;
		}

		await this.#write(demand);
		this.#lastWriteMs = clock.monotonic();
		this.#lastDemand = demand;
	}

	/** Renews the lease without demand; no error keeps the host from ending. */
	async renewWithoutDemand(): Promise<void> {
		const {log} = this.deps;
		try {
			await toleratePlatformErrors(log, 'lease', async () => this.#write({}));
		} catch (error) {
			log.error({event: 'internal-error', message: (error as Error).stack});
		}
	}

	async #write(demand: Record<string, number>): Promise<void> {
		const {log, lifecycle, components: {membership, guard, fence}, onReplaced} = this.deps;
		const result = await membership.renew(guard.table, lifecycle.phase, demand);
		if (result === RenewResult.Replaced) {
			log.error({event: 'replaced', reason: 'another process has registered with this host\'s id; this process rejects new work and shuts down'});
			fence.close();
			onReplaced();
		}
	}
}

/** Whether any group's demand changed by more than 1 unit and by more than `DEMAND_CHANGE_FACTOR`. */
function hasDemandChanged(before: Readonly<Record<string, number>>, after: Readonly<Record<string, number>>): boolean {
	for (const group of new Set([...Object.keys(before), ...Object.keys(after)])) {
		const [low = 0, high = 0] = [before[group] ?? 0, after[group] ?? 0].toSorted((a, b) => a - b);
		if (high - low > 1 && high > low * DEMAND_CHANGE_FACTOR) {
			return true;
		}
	}

	return false;
}
