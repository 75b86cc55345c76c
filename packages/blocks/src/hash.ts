/** Combines two 32-bit hashes into one, with the finalizer of MurmurHash3 (Appleby 2011). */
export function mixHashes(a: number, b: number): number {
	let mixed = a ^ Math.imul(b, 0x9E_37_79_B1);
	mixed ^= mixed >>> 16;
	mixed = Math.imul(mixed, 0x85_EB_CA_6B);
	mixed ^= mixed >>> 13;
	mixed = Math.imul(mixed, 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
