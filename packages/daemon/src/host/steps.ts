/** The part of a robot3 machine that holds its transitions. */
type Tabulated = {
	readonly states: Readonly<Record<string, {readonly transitions: ReadonlyMap<string, ReadonlyArray<{readonly to: string | undefined}>>}>>;
};

/**
 * Reads the transitions of a robot3 machine without guards or actions into a
 * table. Interpreting a machine copies it at each event, which is too dear for
 * a machine of which every request has one.
 */
export function tabulateSteps<Phase extends string, Event extends string>(machine: unknown): ReadonlyMap<Phase, ReadonlyMap<Event, Phase>> {
	const table = new Map<Phase, ReadonlyMap<Event, Phase>>();
	for (const [phase, {transitions}] of Object.entries((machine as Tabulated).states)) {
		const steps = new Map<Event, Phase>();
		for (const [event, [first]] of transitions) {
			if (first?.to !== undefined) {
				steps.set(event as Event, first.to as Phase);
			}
		}

		table.set(phase as Phase, steps);
	}

	return table;
}
