/** The part of the platform's table that claims need. */
export interface ClaimStore {
	/**
	 * Writes a row if there is none.
	 * @returns the row that stands afterwards, whoever wrote it.
	 * @throws when the store gives no answer; the row may stand or not.
	 */
	insertIfAbsent(key: string, value: ClaimRow): Promise<ClaimRow>;
	/** @throws when the store gives no answer. */
	read(key: string): Promise<ClaimRow | undefined>;
}

/** Who may run a request id, for good. */
export type ClaimRow = {
	readonly owner: string;
	readonly digest: string;
	/** Unix ms. */
	readonly createdAtMs: number;
};

/** How an attempt to claim a request id ended. */
export enum ClaimResult {
	/** This attempt alone may run the request. */
	Won = 'won',
	/** Another attempt has claimed it; it may have run. */
	Lost = 'lost',
	/** Another attempt has claimed it with another request. */
	Conflict = 'conflict',
	/** The store gave no answer; nobody runs it for this attempt. */
	NoStore = 'no-store',
}

/** How a claim ended, and who stands as the owner. */
export type ClaimOutcome = {
	readonly result: ClaimResult;
	readonly owner: string | undefined;
};

/** Claims request ids in the table, for callers without a ticket. */
export class ClaimRegistry {
	constructor(private readonly store: ClaimStore) {}

	/**
	 * Claims an id for one attempt. A write whose reply is lost is settled by reading the row back.
	 * @param owner unique to this attempt.
	 */
	async claim(key: string, owner: string, digest: string, nowMs: number): Promise<ClaimOutcome> {
		const row: ClaimRow = {owner, digest, createdAtMs: nowMs};
		try {
			return resolveClaim(await this.store.insertIfAbsent(key, row), row);
		} catch {
			return this.#readBack(key, row);
		}
	}

	async #readBack(key: string, row: ClaimRow): Promise<ClaimOutcome> {
		try {
			const stored = await this.store.read(key);
			return stored ? resolveClaim(stored, row) : {result: ClaimResult.NoStore, owner: undefined};
		} catch {
			return {result: ClaimResult.NoStore, owner: undefined};
		}
	}
}

function resolveClaim(stored: ClaimRow, own: ClaimRow): ClaimOutcome {
	const {owner} = stored;
	if (owner === own.owner) {
		return {result: ClaimResult.Won, owner};
	}

	return {result: stored.digest === own.digest ? ClaimResult.Lost : ClaimResult.Conflict, owner};
}
