import {ResourceKind, type Resource} from '@apricotwood/agreement';
import type {Clock} from '@apricotwood/clock';
import {Holding, RateHolding} from './holding.js';

/** All holdings of this host, by resource key. */
export class Holdings {
	readonly #byKey = new Map<string, Holding>();

	constructor(private readonly clock: Clock) {}

	/** The holding of a resource; one without units when it is not known. */
	get(key: string): Holding {
		let holding = this.#byKey.get(key);
		if (!holding) {
			holding = key.startsWith(`${ResourceKind.Rate}/`) ? new RateHolding(this.clock) : new Holding();
			this.#byKey.set(key, holding);
		}

		return holding;
	}

	/** Units in use by running requests, over all resources but rates. */
	get inUse(): number {
		let units = 0;
		for (const [key, holding] of this.#byKey) {
			if (!key.startsWith(`${ResourceKind.Rate}/`)) {
				units += holding.inUse;
			}
		}

		return units;
	}

	/** Takes the grant of every resource that the agreement no longer names. */
	revokeUnlisted(resources: readonly Resource[]): void {
		const listedKeys = new Set(resources.map(resource => resource.key));
		for (const [key, holding] of this.#byKey) {
			if (listedKeys.has(key)) {
				continue;
			}

			holding.setGranted(0);
			if (holding.inUse === 0) {
				this.#byKey.delete(key);
			}
		}
	}

	entries(): IterableIterator<[string, Holding]> {
		return this.#byKey.entries();
	}
}
