import type {Holding} from './holding.js';

/** Units of one resource that a request needs. */
export type ResourceClaim = {
	readonly key: string;
	readonly holding: Holding;
	readonly units: number;
	/** Fraction of the granted units that must stay free for requests of higher priority, 0 to 1. */
	readonly reservedFraction: number;
};

/** Units that were acquired together; `release` returns all of them and is idempotent. */
export class AcquiredUnits {
	#released = false;

	constructor(private readonly claims: readonly ResourceClaim[]) {}

	release(): void {
		if (this.#released) {
			return;
		}

		this.#released = true;
		for (const {holding, units} of this.claims) {
			holding.release(units);
		}
	}
}

/** Result of {@link acquireAll}; on failure `key` is the resource with too few free units. */
export type AcquireResult = {readonly ok: true; readonly acquired: AcquiredUnits} | {readonly ok: false; readonly key: string};

/** Returns the first claim that exceeds its resource's free units, with the reserve subtracted. */
export function findBlockedClaim(claims: readonly ResourceClaim[]): ResourceClaim | undefined {
	for (const claim of claims) {
		const {holding, units, reservedFraction} = claim;
		const reservedUnits = reservedFraction === 0 ? 0 : Math.ceil(holding.granted * reservedFraction);
		if (holding.free < units + reservedUnits) {
			return claim;
		}
	}

	return undefined;
}

/** Acquires the units of all claims or of none; on failure records demand for the first blocked resource. */
export function acquireAll(claims: readonly ResourceClaim[]): AcquireResult {
	const blockedClaim = findBlockedClaim(claims);
	if (blockedClaim) {
		blockedClaim.holding.recordDemand(blockedClaim.units);
		return {ok: false, key: blockedClaim.key};
	}

	for (const {holding, units} of claims) {
		holding.tryAcquire(units);
	}

	return {ok: true, acquired: new AcquiredUnits(claims)};
}
