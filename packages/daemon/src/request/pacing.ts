import {Priority} from '@apricotwood/agreement';
import {ServicePacing} from './delivery.js';

/** An attempt slower than this part of its peers is hedged, by what the deployment weighs most. */
const HEDGE_QUANTILE: Readonly<Record<Priority, number | undefined>> = {
	[Priority.Latency]: 0.95,
	[Priority.Headroom]: undefined,
};

/** The pacing of every service on this host. */
export class Pacings {
	readonly #byService = new Map<string, ServicePacing>();
	#quantile: number | undefined;

	/** Takes a new priority; estimates start afresh when it changes how hedges start. */
	apply(priority: Priority): void {
		const quantile = HEDGE_QUANTILE[priority];
		if (quantile !== this.#quantile) {
			this.#byService.clear();
		}

		this.#quantile = quantile;
	}

	of(service: string): ServicePacing {
		let pacing = this.#byService.get(service);
		if (!pacing) {
			pacing = new ServicePacing(this.#quantile);
			this.#byService.set(service, pacing);
		}

		return pacing;
	}
}
