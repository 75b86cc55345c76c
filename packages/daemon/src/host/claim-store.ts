import type {ClaimRow, ClaimStore} from '@apricotwood/once';
import {PlatformError, PlatformFailure, type Table} from '@apricotwood/store';

/** Claim store in the platform's table. */
export type TableClaimStore = ClaimStore & {
	/**
	 * Deletes a claim; only for a request that is known not to have run.
	 * @throws {PlatformError} if the platform does not reply.
	 */
	delete(key: string): Promise<void>;
};

/** Number of attempts to insert a claim whose conflicting claim is gone when it is read. */
const MAX_INSERTS = 3;

/** Creates a claim store with one table row per claim. */
export function createClaimStore(table: Table): TableClaimStore {
	const read = async (key: string): Promise<ClaimRow | undefined> => {
		const row = await table.read(key);
		return row?.value as ClaimRow | undefined;
	};

	return {
		read,
		async insertIfAbsent(key, value) {
			for (let inserts = 0; inserts < MAX_INSERTS; inserts++) {
				const result = await table.commit([{key, value, expected: 0}]); // eslint-disable-line no-await-in-loop
				if (result.ok) {
					return value;
				}

				const stored = await read(key); // eslint-disable-line no-await-in-loop
				if (stored) {
					return stored;
				}
			}

			throw new PlatformError(PlatformFailure.ErrorResponse, `claim ${key} changed during each of ${MAX_INSERTS} attempts to insert it`);
		},
		async delete(key) {
			await table.commit([{key, value: undefined, expected: undefined}]);
		},
	};
}
