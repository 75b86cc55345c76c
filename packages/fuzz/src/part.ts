import type fc from 'fast-check';
import type {Coverage} from './coverage.js';
import type {Mutant} from './mutants.js';
import type {Observation} from './observation.js';

/** What a run is given. */
export type RunContext = {
	/** Loopback addresses that no other run uses. */
	readonly takeIp: () => string;
	/** Free ports for other hosts and for callers. */
	readonly ports: readonly [number, number];
	readonly coverage: Coverage;
	/** Break of what the product is given or gives; none in a usual run. */
	readonly mutant: Mutant;
};

/** A part of the checker: scripts and how they are played. */
export interface Part<Script> {
	readonly arbitrary: fc.Arbitrary<Script>;
	/** A script as a reader wants it: without what is as usual. */
	describe(script: Script): unknown;
	/** Plays a script against hosts of its own. */
	play(script: Script, context: RunContext): Promise<Observation>;
}
