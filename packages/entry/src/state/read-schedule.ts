/** Rank of a host as reader of the source, among the live hosts. */
export type ReaderRank = {
	/** Number of hosts that precede it; the host of rank 0 reads regularly. */
	readonly overall: number;
	/** Number of hosts of its availability zone that precede it. */
	readonly inZone: number;
	/** Number of hosts of its zone, including itself. */
	readonly zoneSize: number;
};

/** When hosts read a data set of the source, ms. */
export type ReadSchedule = {
	/** Time between two reads of the host of rank 0. */
	readonly intervalMs: number;
	/** Age of the data above which the other hosts begin to read themselves, the first ones of each zone before the others. */
	readonly takeoverAgeMs: number;
	/** Age of the data at which every host reads itself. */
	readonly maxAgeMs: number;
	/** Time for which a host that has heard of a change waits for a peer to send it, before the hosts of a zone read themselves one after the other. */
	readonly peerWaitMs: number;
	/** Timeout of a read. */
	readonly readTimeoutMs: number;
};

/** What a host knows of a data set, ms. */
export type ReadState = {
	/** Time since the data is known to have matched the source. */
	readonly ageMs: number;
	/** Time since the start of the last read. */
	readonly sinceReadMs: number;
	/** Time for which a change has been missing that a peer has announced; `undefined` if there is none. */
	readonly missingMs: number | undefined;
};

/** Bounds of the schedule where changes may take long to be in force, ms. */
const MAX_INTERVAL_MS = 500;
const MAX_TAKEOVER_AGE_MS = 1000;
const MAX_AGE_MS = 1400;
const MAX_READ_TIMEOUT_MS = 900;
/** Parts of the schedule, as ratios of the deadline of changes. A read that begins at the highest age ends before the deadline, with the time to notice that it is due. */
const INTERVAL_RATIO = 0.25;
const TAKEOVER_AGE_RATIO = 0.5;
const MAX_AGE_RATIO = 0.65;
const READ_TIMEOUT_RATIO = 0.3;
/** Number of hosts of each zone that read before the others, which then receive the changes from them. */
const FIRST_READERS_PER_ZONE = 2;
/** Parts of the time from `takeoverAgeMs` to `maxAgeMs`: the first readers of a zone read up to the first ratio, the others from the second one on. */
const FIRST_READERS_END_RATIO = 0.25;
const OTHERS_START_RATIO = 0.5;
/** Time over which the hosts of a zone that miss a change read, as a ratio of `peerWaitMs`. */
const MISSING_SPREAD_RATIO = 0.5;

/**
 * @param changeDeadlineMs longest time from the confirmation of a change until it must be in force on every host, ms.
 * @param peerWaitMs see `ReadSchedule`.
 */
export function createReadSchedule(changeDeadlineMs: number, peerWaitMs: number): ReadSchedule {
	return {
		intervalMs: Math.min(MAX_INTERVAL_MS, changeDeadlineMs * INTERVAL_RATIO),
		takeoverAgeMs: Math.min(MAX_TAKEOVER_AGE_MS, changeDeadlineMs * TAKEOVER_AGE_RATIO),
		maxAgeMs: Math.min(MAX_AGE_MS, changeDeadlineMs * MAX_AGE_RATIO),
		peerWaitMs: Math.min(peerWaitMs, changeDeadlineMs * INTERVAL_RATIO),
		readTimeoutMs: Math.min(MAX_READ_TIMEOUT_MS, changeDeadlineMs * READ_TIMEOUT_RATIO),
	};
}

/** Returns the age of its data at which a host reads the source itself, ms. It depends on the hosts of its zone only, and is never above `maxAgeMs`. */
export function computeOwnReadAgeMs({takeoverAgeMs, maxAgeMs}: ReadSchedule, {inZone, zoneSize}: ReaderRank): number {
	const position = inZone < FIRST_READERS_PER_ZONE
		? FIRST_READERS_END_RATIO * (inZone + 1) / FIRST_READERS_PER_ZONE
		: OTHERS_START_RATIO + ((1 - OTHERS_START_RATIO) * Math.min(1, (inZone + 1 - FIRST_READERS_PER_ZONE) / (zoneSize - FIRST_READERS_PER_ZONE)));
	return takeoverAgeMs + (position * (maxAgeMs - takeoverAgeMs));
}

/** Returns the time until a read is due, ms; 0 or less if it is due now. */
export function computeReadDelayMs(schedule: ReadSchedule, rank: ReaderRank, {ageMs, sinceReadMs, missingMs}: ReadState): number {
	const regularDelayMs = rank.overall === 0 ? schedule.intervalMs - sinceReadMs : computeOwnReadAgeMs(schedule, rank) - ageMs;
	if (missingMs === undefined) {
		return regularDelayMs;
	}

	const waitMs = schedule.peerWaitMs * (1 + (MISSING_SPREAD_RATIO * (rank.inZone + 1) / rank.zoneSize));
	return Math.min(regularDelayMs, waitMs - missingMs);
}
