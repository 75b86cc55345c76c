import {mixHashes} from '@apricotwood/blocks';
import type {Random} from './random.js';

/** Deterministic generator for reproducible runs: hashes a 32-bit counter that starts at the seed. */
export class SeededRandom implements Random {
	#counter: number;

	constructor(seed: number) {
		this.#counter = seed;
	}

	next(): number {
		this.#counter = (this.#counter + 0x6D_2B_79_F5) % (2 ** 32);
		return mixHashes(this.#counter, 0x9E_37_79_B1) / (2 ** 32);
	}
}
