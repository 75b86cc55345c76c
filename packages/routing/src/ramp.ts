/** Share of a shift's percentage that is in force, growing linearly over its ramp. */
export function rampPart(startMs: number, rampMs: number, nowMs: number): number {
	if (nowMs >= startMs + rampMs) {
		return 1;
	}

	return Math.max(0, (nowMs - startMs) / rampMs);
}

/** Largest change of a weight in one step, relative to the full weight. */
const MAX_STEP = 0.25;
/** Changes smaller than this are ignored, relative to the full weight. */
const DEAD_BAND = 0.1;

/** Moves a weight towards its goal by a bounded step, and not at all for a small change. */
export function stepWeight(current: number, goal: number): number {
	const change = goal - current;
	if (Math.abs(change) < DEAD_BAND && goal !== 0 && goal !== 1) {
		return current;
	}

	return current + Math.max(-MAX_STEP, Math.min(MAX_STEP, change));
}
