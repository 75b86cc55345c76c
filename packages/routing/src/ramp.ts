/**
 * Computes how much of a shift (a redirection of a percentage of a region's
 * callers to another region) is in effect, 0 to 1; it grows linearly from
 * `startMs` over `rampMs`.
 */
export function computeRampFraction(startMs: number, rampMs: number, nowMs: number): number {
	if (nowMs >= startMs + rampMs) {
		return 1;
	}

	return Math.max(0, (nowMs - startMs) / rampMs);
}

/** Maximum change of a weight in one step, as a ratio of the full weight. */
const MAX_WEIGHT_STEP = 0.25;
/** Change of a weight below which it is ignored, as a ratio of the full weight; except to reach 0 or 1. */
const WEIGHT_DEAD_BAND = 0.1;

/** Moves a weight towards its target by a bounded step. Changes within the dead band are ignored, except to reach 0 or 1. */
export function stepWeight(current: number, target: number): number {
	const change = target - current;
	if (Math.abs(change) < WEIGHT_DEAD_BAND && target !== 0 && target !== 1) {
		return current;
	}

	return current + Math.max(-MAX_WEIGHT_STEP, Math.min(MAX_WEIGHT_STEP, change));
}
