/** The ledger row of one resource: units by the incarnation that holds them. */
export type ShareRow = {
	readonly held: Readonly<Record<string, number>>;
};

export const EMPTY_SHARE: ShareRow = {held: {}};

/** Units that no host holds; negative while a lowered limit is pending. */
export function countFreeUnits(row: ShareRow, limit: number): number {
	let held = 0;
	for (const units of Object.values(row.held)) {
		held += units;
	}

	return limit - held;
}

/** The row after one holder's entry is set; an entry of 0 is dropped. */
export function setHolderUnits(row: ShareRow, holder: string, units: number): ShareRow {
	const held = {...row.held};
	if (units === 0) {
		delete held[holder]; // eslint-disable-line @typescript-eslint/no-dynamic-delete
	} else {
		held[holder] = units;
	}

	return {held};
}

/** What a host knows of its own part of a resource. */
export type OwnShare = {
	readonly target: number;
	readonly held: number;
	readonly inUse: number;
};

/**
 * The units that this host's entry should have next. A host gives units back
 * only while no request runs on them and takes only units that are free.
 */
export function planHeldUnits(own: OwnShare, free: number): number {
	if (own.held > own.target) {
		return Math.max(own.target, Math.min(own.held, own.inUse));
	}

	return own.held + Math.max(0, Math.min(own.target - own.held, free));
}

/** Drops the entries of holders that are known to be gone. */
export function removeGoneHolders(row: ShareRow, isGone: (holder: string) => boolean): ShareRow {
	const held: Record<string, number> = {};
	for (const [holder, units] of Object.entries(row.held)) {
		if (!isGone(holder)) {
			held[holder] = units;
		}
	}

	return {held};
}
