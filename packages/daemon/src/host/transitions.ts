/** The transitions in a robot3 machine. */
type RobotMachine = {
	readonly states: Readonly<Record<string, {readonly transitions: ReadonlyMap<string, ReadonlyArray<{readonly to: string | undefined}>>}>>;
};

/**
 * Reads the transitions of a robot3 machine without guards or actions into a
 * table of next phases, by phase and event. robot3's interpreter copies the
 * machine on each event, which is too expensive for a state machine per request.
 */
export function readTransitions<Phase extends string, Event extends string>(machine: unknown): ReadonlyMap<Phase, ReadonlyMap<Event, Phase>> {
	const byPhase = new Map<Phase, ReadonlyMap<Event, Phase>>();
	for (const [phase, {transitions}] of Object.entries((machine as RobotMachine).states)) {
		const nextPhases = new Map<Event, Phase>();
		for (const [event, [first]] of transitions) {
			if (first?.to !== undefined) {
				nextPhases.set(event as Event, first.to as Phase);
			}
		}

		byPhase.set(phase as Phase, nextPhases);
	}

	return byPhase;
}
