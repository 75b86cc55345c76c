import type {
	CommitResult, Row, RowWrite, ScanResult, Table,
} from '../platform.js';

/** In-memory table, used by the embedded default platform and by fakes in tests. */
export class MemoryTable implements Table {
	readonly #rows = new Map<string, Row>();
	#version = 0;

	async read(key: string): Promise<Row | undefined> {
		const row = this.#rows.get(key);
		return row?.value === undefined ? undefined : structuredClone(row);
	}

	async scan(prefix: string, afterVersion: number): Promise<ScanResult> {
		const rows: Row[] = [];
		for (const row of this.#rows.values()) {
			if (row.version > afterVersion && row.key.startsWith(prefix)) {
				rows.push(structuredClone(row));
			}
		}

		rows.sort((a, b) => a.version - b.version);
		return {rows, upTo: this.#version};
	}

	async commit(writes: readonly RowWrite[]): Promise<CommitResult> {
		const conflicts: string[] = [];
		for (const {key, expected} of writes) {
			if (expected !== undefined && expected !== this.#versionOf(key)) {
				conflicts.push(key);
			}
		}

		if (conflicts.length > 0) {
			return {ok: false, conflicts};
		}

		this.#version++;
		for (const {key, value} of writes) {
			// Reinserts the row at the end of the map, so that the stable sort in `scan` keeps the rows of one commit in the order of its writes.
			this.#rows.delete(key);
			this.#rows.set(key, {key, value: structuredClone(value), version: this.#version});
		}

		return {ok: true, version: this.#version};
	}

	#versionOf(key: string): number {
		const row = this.#rows.get(key);
		return row?.value === undefined ? 0 : row.version;
	}
}
