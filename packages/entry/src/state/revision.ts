/** Number of revisions that one epoch can hold. Revisions stay exact integers for the first 8192 epochs. */
const REVISIONS_PER_EPOCH = 2 ** 40;

/**
 * Combines the epoch of the source with one of its versions into a revision. After
 * a restore from an older copy the source gives out the same versions again, in
 * a higher epoch, so revisions of a later epoch are greater than all of earlier ones.
 * @param version version in the numbering of the source, below 2^40.
 */
export function composeRevision(epoch: number, version: number): number {
	return (epoch * REVISIONS_PER_EPOCH) + version;
}

/** Epoch of a revision; 0 before the first restore of the source. */
export function getEpoch(revision: number): number {
	return Math.floor(revision / REVISIONS_PER_EPOCH);
}

/** Version of a revision in the numbering of the source. */
export function getVersion(revision: number): number {
	return revision % REVISIONS_PER_EPOCH;
}
