/** Waits are told apart in steps of this part of a route's first seen wait. */
const STEP_PART = 0.025;
/** Longer waits count as this many steps, whatever a caller writes. */
const MAX_STEPS = 1000;
/** A step belongs to the first tries while it holds this part of the most common step's requests. */
const MIN_DENSITY = 0.25;
/** So many steps in a row without enough requests end the range of first tries. */
const MAX_GAP = 2;
/** With fewer requests, only a wait far below the most common one tells of an earlier try. */
const MIN_REQUESTS = 60;
const FAR_BELOW = 0.6;
/** After this many requests all counts are halved, so that a changed habit is learnt. */
const MEMORY_REQUESTS = 400;
/** The range is found anew after so many requests. */
const REVIEW_EVERY = 20;

type Habit = {
	readonly stepMs: number;
	total: number;
	sinceReview: number;
	/** Requests by the time that their callers wait, in steps. */
	readonly counts: Map<number, number>;
	/** Steps between which first tries lie. */
	lowStep: number;
	highStep: number;
};

/**
 * Tells how long ago a caller first tried, from the time that it still waits.
 *
 * Callers of a route start with much the same time, some with up to a sixth
 * less, and what a caller waits shrinks while it tries again. So first tries
 * lie close together, and those of returning callers are spread thinly below.
 */
export class Patience {
	readonly #habits = new Map<string, Habit>();

	/** @returns time since the caller's first try, ms; 0 for a first try. */
	spent(route: string, waitsMs: number): number {
		let habit = this.#habits.get(route);
		if (!habit) {
			const stepMs = Math.max(1, waitsMs * STEP_PART);
			const step = Math.round(waitsMs / stepMs);
			habit = {
				stepMs, total: 0, sinceReview: 0, counts: new Map(), lowStep: step, highStep: step,
			};
			this.#habits.set(route, habit);
		}

		record(habit, waitsMs);
		const {lowStep, highStep, stepMs, total} = habit;
		const firstMs = (total < MIN_REQUESTS ? highStep * FAR_BELOW : lowStep - 1) * stepMs;
		return waitsMs < firstMs ? ((lowStep + highStep) / 2 * stepMs) - waitsMs : 0;
	}
}

function record(habit: Habit, waitsMs: number): void {
	const step = Math.min(MAX_STEPS, Math.round(waitsMs / habit.stepMs));
	habit.counts.set(step, (habit.counts.get(step) ?? 0) + 1);
	habit.total++;
	habit.sinceReview++;
	if (habit.total >= MEMORY_REQUESTS) {
		halve(habit);
	}

	if (habit.sinceReview >= REVIEW_EVERY) {
		review(habit);
	}
}

function halve(habit: Habit): void {
	habit.total /= 2;
	for (const [key, value] of habit.counts) {
		if (value < 1) {
			habit.counts.delete(key);
		} else {
			habit.counts.set(key, value / 2);
		}
	}
}

/** Finds the steps around the most common one that hold enough requests. */
function review(habit: Habit): void {
	habit.sinceReview = 0;
	let mode = habit.highStep;
	for (const [step, count] of habit.counts) {
		if (count > (habit.counts.get(mode) ?? 0)) {
			mode = step;
		}
	}

	const least = (habit.counts.get(mode) ?? 0) * MIN_DENSITY;
	habit.lowStep = edge(habit.counts, mode, -1, least);
	habit.highStep = edge(habit.counts, mode, 1, least);
}

function edge(counts: ReadonlyMap<number, number>, mode: number, direction: 1 | -1, least: number): number {
	let last = mode;
	for (let step = mode + direction, gap = 0; gap < MAX_GAP; step += direction) {
		if ((counts.get(step) ?? 0) >= least) {
			last = step;
			gap = 0;
		} else {
			gap++;
		}
	}

	return last;
}
