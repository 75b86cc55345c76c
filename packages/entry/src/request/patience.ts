/** Waits are told apart in steps of this, ms. */
const STEP_MS = 10;
/** Differences below this are no sign of an earlier try, ms. */
const TOLERANCE_MS = 20;
/** After this many requests all counts are halved, so that a changed habit is learnt. */
const MEMORY_REQUESTS = 400;

type Habit = {
	total: number;
	/** Requests by the time that their callers wait, in steps. */
	readonly counts: Map<number, number>;
	/** The most common time, ms. */
	usualMs: number;
};

/**
 * Tells how long ago a caller first tried, from the time that it still waits:
 * most callers of a route start with the same time, and what a caller waits
 * shrinks while it tries again.
 */
export class Patience {
	readonly #habits = new Map<string, Habit>();

	/** @returns time since the caller's first try, ms; 0 for a first try. */
	spent(route: string, waitsMs: number): number {
		let habit = this.#habits.get(route);
		if (!habit) {
			habit = {total: 0, counts: new Map(), usualMs: waitsMs};
			this.#habits.set(route, habit);
		}

		record(habit, waitsMs);
		const spentMs = habit.usualMs - waitsMs;
		return spentMs > TOLERANCE_MS ? spentMs : 0;
	}
}

function record(habit: Habit, waitsMs: number): void {
	const step = Math.round(waitsMs / STEP_MS);
	const count = (habit.counts.get(step) ?? 0) + 1;
	habit.counts.set(step, count);
	habit.total++;
	if (count > (habit.counts.get(Math.round(habit.usualMs / STEP_MS)) ?? 0)) {
		habit.usualMs = waitsMs;
	}

	if (habit.total < MEMORY_REQUESTS) {
		return;
	}

	habit.total /= 2;
	for (const [key, value] of habit.counts) {
		if (value < 1) {
			habit.counts.delete(key);
		} else {
			habit.counts.set(key, value / 2);
		}
	}
}
