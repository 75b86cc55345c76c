import type {Holding} from './holding.js';

/** Units that one request asks of one resource. */
export type Claimed = {
	readonly key: string;
	readonly holding: Holding;
	readonly units: number;
	/** Units that must stay free for more urgent requests. */
	readonly reserve: number;
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

/** Takes units of every resource, or of none; names the first resource that has too few. */
export function takeAll(claimed: readonly Claimed[]): TakeResult {
	for (const {key, holding, units, reserve} of claimed) {
		if (holding.free < units + reserve) {
			holding.want(units);
			return {ok: false, key};
		}
	}

	for (const {holding, units} of claimed) {
		holding.take(units);
	}

	return {ok: true, taken: new TakenUnits(claimed)};
}
