import {formatPrefix, maskWord, type Prefix} from './prefix.js';
import {NO_VALUE, PrefixTable} from './prefix-table.js';

/** Maximum number of distinct sites: a site index takes 16 bits, and `NO_VALUE` is reserved. */
const MAX_SITES = NO_VALUE;

/** The client block that matched an address. */
export type BlockMatch = {
	readonly site: string;
	/** Prefix length of the block, in bits. */
	readonly bits: number;
};

/**
 * Maps client blocks to sites, with longest-prefix matching.
 *
 * Keeps one hash table for each prefix length in use and probes them from the
 * longest prefix to the shortest. Changing a block updates one table cell, so
 * applying a patch does not rebuild the tables.
 */
export class BlockTable {
	readonly #ipv4 = new PrefixTablesByLength(false);
	readonly #ipv6 = new PrefixTablesByLength(true);
	readonly #sites: string[] = [];
	readonly #siteIndexes = new Map<string, number>();

	get size(): number {
		return this.#ipv4.size + this.#ipv6.size;
	}

	/** Memory used by the tables, in bytes. */
	get byteLength(): number {
		return this.#ipv4.byteLength + this.#ipv6.byteLength;
	}

	/**
	 * Adds a block or replaces its site.
	 * @throws {RangeError} when the blocks refer to more distinct sites than a site index can hold.
	 */
	set(prefix: Prefix, site: string): void {
		this.#tablesFor(prefix.family).tableFor(prefix.bits).set(prefix.high, prefix.low, this.#internSite(site));
	}

	/** Site of exactly this block; `undefined` when the table does not contain it. */
	get(prefix: Prefix): string | undefined {
		const value = this.#tablesFor(prefix.family).tableFor(prefix.bits).get(prefix.high, prefix.low);
		return value === NO_VALUE ? undefined : this.#sites[value];
	}

	/** Whether any block refers to the site. Scans all tables. */
	usesSite(site: string): boolean {
		const index = this.#siteIndexes.get(site);
		return index !== undefined && (this.#ipv4.hasValue(index) || this.#ipv6.hasValue(index));
	}

	/** All blocks, in no particular order. */
	* entries(): Iterable<{prefix: string; site: string}> {
		for (const [family, tables] of [[4, this.#ipv4], [6, this.#ipv6]] as const) {
			for (const [bits, high, low, value] of tables.entries()) {
				yield {
					prefix: formatPrefix({
						family, high, low, bits,
					}), site: this.#sites[value] ?? '',
				};
			}
		}
	}

	/** @returns whether the table contained the block. */
	delete(prefix: Prefix): boolean {
		return this.#tablesFor(prefix.family).tableFor(prefix.bits).delete(prefix.high, prefix.low);
	}

	/** Longest block that contains the address; `undefined` when no block does. */
	find(address: Omit<Prefix, 'bits'>): BlockMatch | undefined {
		const tables = this.#tablesFor(address.family);
		for (const bits of tables.lengths) {
			const value = tables.tableFor(bits).get(maskWord(address.high, bits), maskWord(address.low, bits - 32));
			if (value !== NO_VALUE) {
				return {site: this.#sites[value] ?? '', bits};
			}
		}

		return undefined;
	}

	#tablesFor(family: 4 | 6): PrefixTablesByLength {
		return family === 4 ? this.#ipv4 : this.#ipv6;
	}

	#internSite(site: string): number {
		let index = this.#siteIndexes.get(site);
		if (index === undefined) {
			index = this.#sites.length;
			if (index >= MAX_SITES) {
				throw new RangeError(`client blocks refer to more than ${MAX_SITES} distinct sites`);
			}

			this.#sites.push(site);
			this.#siteIndexes.set(site, index);
		}

		return index;
	}
}

/** Hash tables of one address family, by prefix length. */
class PrefixTablesByLength {
	readonly #tables = new Map<number, PrefixTable>();
	#lengths: number[] = [];

	constructor(private readonly isIpv6: boolean) {}

	/** Prefix lengths in use, longest first. */
	get lengths(): readonly number[] {
		return this.#lengths;
	}

	get size(): number {
		let size = 0;
		for (const table of this.#tables.values()) {
			size += table.size;
		}

		return size;
	}

	get byteLength(): number {
		let bytes = 0;
		for (const table of this.#tables.values()) {
			bytes += table.byteLength;
		}

		return bytes;
	}

	/** Whether any prefix has the value. */
	hasValue(value: number): boolean {
		for (const table of this.#tables.values()) {
			if (table.hasValue(value)) {
				return true;
			}
		}

		return false;
	}

	* entries(): Iterable<readonly [bits: number, high: number, low: number, value: number]> {
		for (const [bits, table] of this.#tables) {
			for (const [high, low, value] of table.entries()) {
				yield [bits, high, low, value];
			}
		}
	}

	/** Table of a prefix length; created on first use. */
	tableFor(bits: number): PrefixTable {
		let table = this.#tables.get(bits);
		if (!table) {
			table = new PrefixTable(this.isIpv6);
			this.#tables.set(bits, table);
			this.#lengths = [...this.#lengths, bits].toSorted((a, b) => b - a);
		}

		return table;
	}
}
