/** Source text that is replaced when the hosts are built. */
export type Replacement = {
	/** Source file, relative to the root of the workspace. */
	readonly file: string;
	/** Source text to replace, letter for letter. */
	readonly from: string;
	readonly to: string;
};

/** Deliberate defect in the product, to verify that the soak test detects the defect. */
export type Breakage = Replacement & {
	/** Promise that the defect violates. */
	readonly promise: string;
};

/** Breakages by name; `--break NAME` builds the hosts with one of them. */
export const BREAKAGES: Readonly<Record<string, Breakage>> = {
	'repeat-all': {
		file: 'packages/entry/src/request/session.ts',
		from: 'const isRepeatable = !sender.mayHaveRun || (this.route.kind === RequestKind.Idempotent && this.deps.crashGuard.canRetry(guarded, sender.brokenAttempts));',
		to: 'const isRepeatable = true;',
		promise: 'once',
	},
	'says-not-run': {
		file: 'packages/entry/src/request/attempt.ts',
		from: 'this.#mayHaveRun ||= result.mayHaveRun;',
		to: '',
		promise: 'refused',
	},
	'ends-cut-answers': {
		file: 'packages/entry/src/request/session.ts',
		from: 'this.#writer.cut();',
		to: 'this.#writer.end();',
		promise: 'mixed',
	},
	'uses-draining': {
		file: 'packages/steering/src/fleet.ts',
		from: 'return worker.registration.state === WorkerState.Ready && !this.#evacuated.has(worker.registration.zone);',
		to: 'return true;',
		promise: 'drain',
	},
	'ignores-limits': {
		file: 'packages/steering/src/worker-availability.ts',
		from: 'return untilMs <= nowMs ? undefined : {reason: Unavailability.RateLimited, untilMs};',
		to: 'return undefined;',
		promise: 'limit',
	},
	'ignores-leaving': {
		file: 'packages/steering/src/worker-availability.ts',
		from: ' || this.deps.drains.isDraining(worker);',
		to: ';',
		promise: 'leaving',
	},
	'ignores-backoff': {
		file: 'packages/steering/src/worker-availability.ts',
		from: 'if (backoffEndMs > nowMs) {',
		to: 'if (backoffEndMs === 0) {',
		promise: 'backoff',
	},
	'keeps-limits-alone': {
		file: 'packages/entry/src/host/directory.ts',
		from: 'const ready = isolation.listServing(nowMs).map(({hash, entry: {region}}) => ({hash, region}));',
		to: 'const ready: Array<{hash: number; region: string}> = [];',
		promise: 'limit',
	},
	'ignores-quarantine': {
		file: 'packages/steering/src/crash-tracker.ts',
		from: 'return this.countCrashes(request) >= QUARANTINE_CRASHES;',
		to: 'return false;',
		promise: 'crash',
	},
	'keeps-crashes-alone': {
		file: 'packages/entry/src/peer/crash-reports.ts',
		from: 'const changed = reports.filter(report => crashes.recordPeerReport(report, clock.monotonic()));',
		to: 'const changed: CrashReport[] = [];',
		promise: 'crash',
	},
	'keeps-requests': {
		file: 'packages/entry/src/request/request-forwarder.ts',
		from: 'return candidates.toSorted((a, b) => a.order - b.order).slice(0, MAX_PEERS).map(({peer}) => peer);',
		to: 'return [];',
		promise: 'isolated',
	},
	'reuses-connections': {
		file: 'packages/entry/src/upstream/connection.ts',
		from: 'return this.#requestCount === 0 || (requestId !== undefined && !this.#requestIds.has(hashText(requestId)));',
		to: 'return true;',
		promise: 'refused',
	},
	'starts-late': {
		file: 'packages/steering/src/shutdown-deadline.ts',
		from: 'deadlineAtMs + this.#marginMs <= this.#endAtMs',
		to: 'deadlineAtMs > 0',
		promise: 'stop',
	},
	'starts-by-estimate': {
		file: 'packages/steering/src/shutdown-deadline.ts',
		from: 'deadlineAtMs + this.#marginMs <= this.#endAtMs',
		// A request takes 40 ms as far as anyone knows.
		to: 'Math.min(deadlineAtMs, performance.now() + 40) + this.#marginMs <= this.#endAtMs',
		promise: 'stop',
	},
	'leaves-at-once': {
		file: 'packages/entry/src/host/shutdown.ts',
		from: 'await sleep(clock, startAtMs + closeAfterMs - clock.monotonic());',
		to: 'process.exit(0);',
		promise: 'stop',
	},
};
