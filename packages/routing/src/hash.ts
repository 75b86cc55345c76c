import {mixHashes} from '@apricotwood/blocks';
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();
const UINT32_RANGE = 2 ** 32;

/** Computes the XXH32 hash of a text, an unsigned 32-bit integer. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/** Maps a 32-bit hash into the open interval (0, 1). */
export function toUnitInterval(hash: number): number {
	return (hash + 0.5) / UINT32_RANGE;
}

/**
 * Computes the score of a node for a key, for weighted rendezvous hashing
 * (Schindelhauer and Schomaker 2005): over many keys, each node has the highest
 * score in proportion to its weight.
 */
export function computeRendezvousScore(key: number, node: number, weight: number): number {
	return -weight / Math.log(toUnitInterval(mixHashes(key, node)));
}
