import {randomUUID} from 'node:crypto';
import {ChangeKind, type Agreement, type Change} from '@apricotwood/agreement';
import type {ApiClient} from './client.js';

/** The agreement in force on a host. */
export type CurrentAgreement = {
	readonly version: number;
	readonly agreement: Agreement;
};

/** What a host says of an accepted patch. */
export type AcceptedPatch = {
	readonly version: number;
	readonly patchId: string;
	readonly isRepeat: boolean;
	/** Other hosts that had the version before the answer. */
	readonly peers: number;
};

export async function fetchCurrentAgreement(client: ApiClient): Promise<CurrentAgreement> {
	return client.get<CurrentAgreement>('/v1/agreement');
}

/** Sends changes as one patch against a version. */
export async function sendPatch(client: ApiClient, against: number, changes: readonly Change[], id: string = randomUUID()): Promise<AcceptedPatch> {
	return client.post<AcceptedPatch>('/v1/agreement/patches', {id, against, changes});
}

/** Says one change in a line. */
export function formatChange(change: Change): string {
	switch (change.kind) {
		case ChangeKind.Set: {
			return `set ${change.section} ${JSON.stringify(change.item)}`;
		}

		case ChangeKind.Remove: {
			return `remove ${change.section} ${change.key}`;
		}

		case ChangeKind.Priority: {
			return `priority ${change.priority}`;
		}
	}
}
