import ipaddr from 'ipaddr.js';

const CHAR_CODE_DOT = 46;
const CHAR_CODE_ZERO = 48;

/** The longest IPv6 prefix that a client block may have, in bits. */
export const MAX_IPV6_PREFIX_BITS = 64;

/** A client block's address range. IPv6 keeps its upper 64 bits, which are all a block may use. */
export type Prefix = {
	readonly family: 4 | 6;
	/** Upper 32 bits of the address. */
	readonly high: number;
	/** Next 32 bits; 0 for IPv4. */
	readonly low: number;
	/** Length in bits. */
	readonly bits: number;
};

export type ParsedPrefix = {readonly ok: true; readonly prefix: Prefix} | {readonly ok: false; readonly reason: string};

/** Parses `ADDRESS/BITS`; refuses set host bits, so that one block has one spelling. */
export function parsePrefix(text: string): ParsedPrefix {
	const slash = text.indexOf('/');
	const address = slash === -1 ? text : text.slice(0, slash);
	const bitsText = slash === -1 ? '' : text.slice(slash + 1);
	const parsed = parseAddress(address);
	const bits = /^\d{1,3}$/.test(bitsText) ? Number(bitsText) : -1;
	if (!parsed || bits < 0 || bits > (parsed.family === 4 ? 32 : 128)) {
		return {ok: false, reason: `"${text}" is not a client block; write it as 192.0.2.0/24 or 2001:db8::/48`};
	}

	if (parsed.family === 6 && bits > MAX_IPV6_PREFIX_BITS) {
		return {ok: false, reason: `"${text}" is longer than /${MAX_IPV6_PREFIX_BITS}; use /${MAX_IPV6_PREFIX_BITS} or shorter`};
	}

	const high = maskWord(parsed.high, bits);
	const low = maskWord(parsed.low, bits - 32);
	if (high !== parsed.high || low !== parsed.low) {
		return {ok: false, reason: `"${text}" has bits set behind its length; clear them`};
	}

	return {ok: true, prefix: {...parsed, bits}};
}

/** Parses an IP number; an IPv4 address mapped into IPv6 counts as IPv4. */
export function parseAddress(text: string): Omit<Prefix, 'bits'> | undefined {
	const ipv4 = parseIpv4(text);
	if (ipv4 !== undefined) {
		return {family: 4, high: ipv4, low: 0};
	}

	if (!text.includes(':') || text.includes('%') || !ipaddr.IPv6.isValid(text)) {
		return undefined;
	}

	const address = ipaddr.IPv6.parse(text);
	if (address.isIPv4MappedAddress()) {
		return fromIpv4Octets(address.toIPv4Address().octets);
	}

	const [a = 0, b = 0, c = 0, d = 0] = address.parts;
	return {family: 6, high: joinHalves(a, b), low: joinHalves(c, d)};
}

/** Writes a prefix in its one spelling, IPv6 by RFC 5952. */
export function formatPrefix({family, high, low, bits}: Prefix): string {
	if (family === 4) {
		return `${high >>> 24}.${(high >>> 16) & 255}.${(high >>> 8) & 255}.${high & 255}/${bits}`;
	}

	const parts = [high >>> 16, high & 0xFF_FF, low >>> 16, low & 0xFF_FF, 0, 0, 0, 0];
	return `${new ipaddr.IPv6(parts).toRFC5952String()}/${bits}`;
}

/** Clears all but the first `bits` bits of a 32-bit word. */
export function maskWord(word: number, bits: number): number {
	if (bits <= 0) {
		return 0;
	}

	return bits >= 32 ? word : (word & (-1 << (32 - bits))) >>> 0;
}

/** Parses four decimal numbers without leading zeros; a look-up's most frequent step. */
function parseIpv4(text: string): number | undefined {
	let word = 0;
	let dots = 0;
	let octet = -1;
	for (let index = 0; index < text.length; index++) {
		const code = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point
		if (code === CHAR_CODE_DOT) {
			if (octet < 0 || dots === 3) {
				return undefined;
			}

			word = ((word << 8) | octet) >>> 0;
			dots++;
			octet = -1;
			continue;
		}

		const digit = code - CHAR_CODE_ZERO;
		if (digit < 0 || digit > 9 || octet === 0) {
			return undefined;
		}

		octet = octet < 0 ? digit : (octet * 10) + digit;
		if (octet > 255) {
			return undefined;
		}
	}

	return dots === 3 && octet >= 0 ? ((word << 8) | octet) >>> 0 : undefined;
}

function fromIpv4Octets(octets: readonly number[]): Omit<Prefix, 'bits'> {
	const [a = 0, b = 0, c = 0, d = 0] = octets;
	return {family: 4, high: joinHalves((a << 8) | b, (c << 8) | d), low: 0};
}

function joinHalves(upper: number, lower: number): number {
	return ((upper << 16) | lower) >>> 0;
}
