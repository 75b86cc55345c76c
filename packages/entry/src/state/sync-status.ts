/** Replication status of one data set: the operations (configuration and evacuated zones) or the workers. */
export type SyncStatus = {
	/** Revision of the last update that changed the data. */
	changedRevision: number;
	/** Revision up to which all updates are applied. */
	cursor: number;
	/** Latest monotonic time at which the data is known to have matched the source, ms; `-Infinity` before the first read. */
	freshAtMs: number;
	/** Highest revision of a change that a peer has announced, and when it first did, monotonic ms. */
	announcedRevision: number;
	announcedAtMs: number;
	/** Time since which a change has been missing that a peer has announced, monotonic ms; `undefined` if there is none. */
	missingSinceMs: number | undefined;
	/** Whether the fingerprint still differed from the peer's after the last catch-up response of a peer was applied; always `false` for the operations. */
	hasFingerprintMismatch: boolean;
};

/** Replication status of one data set as a host reports it to its peers. */
export type PeerSyncStatus = {
	readonly changedRevision: number;
	readonly cursor: number;
	/** Time since the data is known to have matched the source, ms. */
	readonly ageMs: number;
	/** Hash of the configuration version and evacuated zones, or of the ids, states, start times and addresses of the workers. */
	readonly fingerprint: number;
};

/** Status of a data set before its first update. */
export function createSyncStatus(): SyncStatus {
	return {
		changedRevision: 0, cursor: 0, freshAtMs: Number.NEGATIVE_INFINITY, announcedRevision: 0, announcedAtMs: Number.NEGATIVE_INFINITY, missingSinceMs: undefined, hasFingerprintMismatch: false,
	};
}

/** Records that the data matched the source at `freshAtMs` (monotonic ms), up to the revision `cursor`. */
export function refreshStatus(status: SyncStatus, cursor: number, freshAtMs: number): void {
	if (cursor > status.cursor) {
		status.cursor = cursor;
		// What is still missing was announced at the time of the last announcement or a little earlier.
		status.missingSinceMs = status.announcedRevision > cursor ? status.announcedAtMs : undefined;
	}

	status.freshAtMs = Math.max(status.freshAtMs, freshAtMs);
}

/**
 * Compares the status of a data set with that of a peer. If nothing is to be
 * requested, the peer's cursor and freshness are taken over, unless its cursor is
 * behind. At equal cursors the fingerprints are compared only after a fingerprint
 * mismatch; otherwise the data is assumed to be equal.
 * @param nowMs monotonic ms.
 * @param isDirect whether the peer itself has sent its status; the freshness of a forwarded one is not taken over.
 * @returns the revision after which to request changes; `undefined` if no request is needed.
 */
export function compareStatus(own: SyncStatus, fingerprint: number, peer: PeerSyncStatus, nowMs: number, isDirect: boolean): number | undefined {
	recordAnnouncement(own, peer.changedRevision, nowMs);
	if (peer.changedRevision > own.changedRevision) {
		return own.changedRevision;
	}

	// An equal or older changed revision of the peer does not prove equal data: if a change was made and reverted between two reads of
	// the peer, only this host has recorded the change, and it may have missed the revert. If the fingerprints differ, a full snapshot (0)
	// is requested from a peer with a later cursor. After a mismatch, the last response did not help, so an equal cursor suffices.
	const mayBeNewer = own.hasFingerprintMismatch ? peer.cursor >= own.cursor : peer.cursor > own.cursor;
	if (mayBeNewer && peer.fingerprint !== fingerprint) {
		return 0;
	}

	if (isDirect && peer.cursor >= own.cursor) {
		refreshStatus(own, peer.cursor, nowMs - peer.ageMs);
	}

	return undefined;
}

/** Records that a peer has a change of this revision. */
function recordAnnouncement(status: SyncStatus, revision: number, nowMs: number): void {
	if (revision > status.cursor && revision > status.announcedRevision) {
		status.announcedRevision = revision;
		status.announcedAtMs = nowMs;
		status.missingSinceMs ??= nowMs;
	}
}
