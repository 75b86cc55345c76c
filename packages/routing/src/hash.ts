import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();
const UINT32_RANGE = 2 ** 32;

/** XXH32 of a text, an unsigned 32-bit integer. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/** Maps a 32-bit hash into the open interval (0, 1). */
export function toUnit(hash: number): number {
	return (hash + 0.5) / UINT32_RANGE;
}

/** Combines two 32-bit hashes into one (finaliser of MurmurHash3, Appleby 2011). */
export function mixHashes(a: number, b: number): number {
	let mixed = a ^ Math.imul(b, 0x9E_37_79_B1);
	mixed ^= mixed >>> 16;
	mixed = Math.imul(mixed, 0x85_EB_CA_6B);
	mixed ^= mixed >>> 13;
	mixed = Math.imul(mixed, 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
