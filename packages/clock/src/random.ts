/** Source of chance. */
export interface Random {
	/** A number in `[0, 1)`. */
	next(): number;
}

/** The runtime's own generator. */
export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}
}

/** Spreads a span over `[1 - part, 1 + part)` times its length. */
export function jitter(random: Random, durationMs: number, ratio: number): number {
	return durationMs * (1 + (ratio * ((2 * random.next()) - 1)));
}
