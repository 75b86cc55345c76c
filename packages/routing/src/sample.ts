/** A measured or reported value with its timestamp. */
export type Sample = {
	readonly value: number;
	/** Time of the measurement, ms, on the same clock as `nowMs` of the functions below. */
	readonly atMs: number;
};

/** Maximum time by which a sample's timestamp may be ahead of the local clock, ms; a sample further ahead is ignored. */
const MAX_CLOCK_SKEW_MS = 2000;

/**
 * Computes the age of a sample, ms. A negative age within the allowed clock skew is returned as 0.
 * @returns `undefined` when the timestamp is too far in the future.
 */
export function computeAgeMs(sample: Sample, nowMs: number): number | undefined {
	const ageMs = nowMs - sample.atMs;
	return ageMs < -MAX_CLOCK_SKEW_MS ? undefined : Math.max(0, ageMs);
}

/**
 * Computes the weight of a sample from its age: 1 for a new sample, decreasing linearly to 0 at `maxAgeMs`.
 * @returns 0 to 1; 0 also for an absent sample and for one too far in the future.
 */
export function weighByAge(sample: Sample | undefined, nowMs: number, maxAgeMs: number): number {
	if (!sample) {
		return 0;
	}

	const ageMs = computeAgeMs(sample, nowMs);
	return ageMs === undefined ? 0 : Math.max(0, 1 - (ageMs / maxAgeMs));
}

/** Interpolates between a sample and a fallback value by the age of the sample; returns the fallback when the sample is absent, too old or too far in the future. */
export function blendByAge(sample: Sample | undefined, fallback: number, nowMs: number, maxAgeMs: number): number {
	const weight = weighByAge(sample, nowMs, maxAgeMs);
	return weight === 0 || !sample ? fallback : (weight * sample.value) + ((1 - weight) * fallback);
}
