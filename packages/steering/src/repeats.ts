/** What all hosts together may repeat. */
export type RepeatBounds = {
	/** Repeats allowed for each request of a service. */
	readonly ratio: number;
	/** Repeats allowed besides, for all hosts together. */
	readonly extra: number;
	readonly windowMs: number;
};

/** Part of the shared bound that hosts use, so that the windows' edges and late arrivals stay inside it. */
const SAFETY = 0.85;
const BUCKETS = 10;

type Tally = {
	bucket: number;
	readonly requests: number[];
	readonly repeats: number[];
};

/**
 * One host's part of the repeats that all hosts may make: a share of its own
 * requests and an even part of what is allowed besides. Answers workers that
 * fail or shed many requests at once: without it every request would be sent
 * twice and the healthy workers would drown.
 */
export class RepeatBudget {
	readonly #tallies = new Map<string, Tally>();

	constructor(private readonly bounds: RepeatBounds) {}

	recordRequest(service: string, nowMs: number): void {
		const tally = this.#tally(service, nowMs);
		tally.requests[tally.bucket % BUCKETS]!++;
	}

	/** Takes one repeat, if there is one left. */
	take(service: string, hosts: number, nowMs: number): boolean {
		const tally = this.#tally(service, nowMs);
		const allowed = SAFETY * ((this.bounds.ratio * sum(tally.requests)) + (this.bounds.extra / Math.max(1, hosts)));
		if (sum(tally.repeats) + 1 > allowed) {
			return false;
		}

		tally.repeats[tally.bucket % BUCKETS]!++;
		return true;
	}

	#tally(service: string, nowMs: number): Tally {
		const bucket = Math.floor(nowMs * BUCKETS / this.bounds.windowMs);
		let tally = this.#tallies.get(service);
		if (!tally) {
			tally = {bucket, requests: Array.from<number>({length: BUCKETS}).fill(0), repeats: Array.from<number>({length: BUCKETS}).fill(0)};
			this.#tallies.set(service, tally);
		}

		for (let steps = 0; tally.bucket < bucket && steps < BUCKETS; steps++) {
			tally.bucket++;
			tally.requests[tally.bucket % BUCKETS] = 0;
			tally.repeats[tally.bucket % BUCKETS] = 0;
		}

		tally.bucket = bucket;
		return tally;
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
