import type {Holding} from './holding.js';

/** Units that one request asks of one resource. */
export type Claimed = {
	readonly key: string;
	readonly holding: Holding;
	readonly units: number;
	/** Part of the granted units that must stay free for more urgent requests, 0 to 1. */
	readonly reservedPart: number;
};

/** Units taken together; `release` gives all of them back and is idempotent. */
export class TakenUnits {
	#released = false;

	constructor(private readonly claimed: readonly Claimed[]) {}

	release(): void {
		if (this.#released) {
			return;
		}

		this.#released = true;
		for (const {holding, units} of this.claimed) {
			holding.give(units);
		}
	}
}

export type TakeResult = {readonly ok: true; readonly taken: TakenUnits} | {readonly ok: false; readonly key: string};

/** The first claim that has too few units free. */
export function findBlocked(claimed: readonly Claimed[]): Claimed | undefined {
	for (const claim of claimed) {
		const {holding, units, reservedPart} = claim;
		const reserved = reservedPart === 0 ? 0 : Math.ceil(holding.granted * reservedPart);
		if (holding.free < units + reserved) {
			return claim;
		}
	}

	return undefined;
}

/** Takes units of every resource, or of none; names the first resource that has too few. */
export function takeAll(claimed: readonly Claimed[]): TakeResult {
	const blocked = findBlocked(claimed);
	if (blocked) {
		blocked.holding.want(blocked.units);
		return {ok: false, key: blocked.key};
	}

	for (const {holding, units} of claimed) {
		holding.take(units);
	}

	return {ok: true, taken: new TakenUnits(claimed)};
}
