/** A mechanism of the product that is broken on purpose, to show that the soak finds it. */
export type Breakage = {
	/** File under the root of the workspace. */
	readonly file: string;
	readonly from: string;
	readonly to: string;
	/** Promise that is broken by it. */
	readonly promise: string;
};

/** By name; `--break NAME` builds the hosts with it. */
export const BREAKAGES: Readonly<Record<string, Breakage>> = {
	'repeat-all': {
		file: 'packages/entry/src/request/session.ts',
		from: 'const isRepeatable = !this.#mayHaveRun || this.route.kind === RequestKind.Idempotent;',
		to: 'const isRepeatable = true;',
		promise: 'once',
	},
	'says-not-run': {
		file: 'packages/entry/src/request/session.ts',
		from: 'this.#mayHaveRun ||= result.mayHaveRun;',
		to: '',
		promise: 'refused',
	},
	'ends-cut-answers': {
		file: 'packages/entry/src/request/session.ts',
		from: 'this.#cut();',
		to: 'this.res.end();',
		promise: 'mixed',
	},
	'uses-draining': {
		file: 'packages/steering/src/fleet.ts',
		from: 'return worker.entry.state === WorkerState.Ready && !this.#evacuated.has(worker.entry.zone);',
		to: 'return true;',
		promise: 'drain',
	},
	'leaves-at-once': {
		file: 'packages/entry/src/host/host.ts',
		from: 'await sleep(clock, Math.min(LEAVE_MS, settings.graceMs / 1.7));',
		to: 'process.exit(0);',
		promise: 'stop',
	},
};
