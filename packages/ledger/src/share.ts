/** The ledger row of one resource: units by the incarnation that holds them. */
export type ShareRow = {
	readonly held: Readonly<Record<string, number>>;
};

export const EMPTY_SHARE: ShareRow = {held: {}};

/** Units that no host holds; negative while a lowered limit is pending. */
export function countFree(row: ShareRow, limit: number): number {
	let held = 0;
	for (const units of Object.values(row.held)) {
		held += units;
	}

	return limit - held;
}

/** The row after one holder's entry is set; an entry of 0 is dropped. */
export function setEntry(row: ShareRow, holder: string, units: number): ShareRow {
	const held = {...row.held};
	if (units === 0) {
		delete held[holder]; // eslint-disable-line @typescript-eslint/no-dynamic-delete
	} else {
		held[holder] = units;
	}

	return {held};
}

/** What a host knows of its own part of a resource. */
export type OwnPart = {
	readonly target: number;
	readonly held: number;
	readonly inUse: number;
};

/**
 * The units that this host's entry should have next. A host gives units back
 * only while no request runs on them and takes only units that are free.
 */
export function planEntry(part: OwnPart, free: number): number {
	if (part.held > part.target) {
		return Math.max(part.target, Math.min(part.held, part.inUse));
	}

	return part.held + Math.max(0, Math.min(part.target - part.held, free));
}

/** Drops the entries of holders that are known to be gone. */
export function reclaimEntries(row: ShareRow, isGone: (holder: string) => boolean): ShareRow {
	const held: Record<string, number> = {};
	for (const [holder, units] of Object.entries(row.held)) {
		if (!isGone(holder)) {
			held[holder] = units;
		}
	}

	return {held};
}
