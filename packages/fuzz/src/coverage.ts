/** Counts how often a run met what. */
export class Coverage {
	readonly #counts = new Map<string, Map<string, number>>();

	/** @param group what is counted, such as `status`. @param value which one was met. */
	count(group: string, value: string | number): void {
		const counts = this.#counts.get(group) ?? new Map<string, number>();
		this.#counts.set(group, counts);
		counts.set(String(value), (counts.get(String(value)) ?? 0) + 1);
	}

	/** Counts by value by group, most frequent first. */
	toJSON(): Record<string, Record<string, number>> {
		return Object.fromEntries([...this.#counts].map(([group, counts]) => [group, Object.fromEntries([...counts].toSorted(([, a], [, b]) => b - a).map(([value, count]) => [`${value}`, count]))]));
	}

	/** One line a group. */
	toString(): string {
		return [...this.#counts].map(([group, counts]) => `${group}: ${[...counts].toSorted(([, a], [, b]) => b - a).map(([value, count]) => `${value} ${count}`).join(', ')}`).join('\n');
	}
}
