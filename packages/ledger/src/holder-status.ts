/** State of a host's address in the platform's host list. */
export enum HostListing {
	Live = 'live',
	Leaving = 'leaving',
	Absent = 'absent',
}

/** What this host knows about an incarnation that holds units. */
export type HolderStatus = {
	/** Time of the last lease renewal, Unix ms. */
	readonly renewedAtMs: number;
	/** The incarnation has recorded that it stopped and holds no units. */
	readonly stopped: boolean;
	/** A newer incarnation has registered at the same address. */
	readonly superseded: boolean;
	readonly listed: HostListing;
	/** The address has been in the platform's host list before. */
	readonly wasListed: boolean;
};

/**
 * Whether a holder is known to be gone, so that other hosts may reclaim its units.
 * An expired lease alone is not sufficient, because a paused process may resume.
 * A host that loses its connection to the store stops dispatching within `fenceMs`.
 */
export function isHolderGone(status: HolderStatus, nowMs: number, fenceMs: number): boolean {
	if (status.stopped || status.superseded) {
		return true;
	}

	return status.wasListed && status.listed === HostListing.Absent && nowMs - status.renewedAtMs > fenceMs;
}
