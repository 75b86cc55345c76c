import type {Random} from '@apricotwood/clock';

/** Kinds of faults. Each is undone after its duration, except the stops of hosts, `HostReload`, `StoreForgets` and `ConfigChange`, which have no duration. */
export enum FaultKind {
	/** SIGKILL; the host is restarted after the duration. */
	HostKill = 'host-kill',
	/** SIGTERM; the host is restarted once it has exited. */
	HostStop = 'host-stop',
	/** SIGSTOP, then SIGCONT. */
	HostPause = 'host-pause',
	/** SIGHUP. */
	HostReload = 'host-reload',
	/** A host, or all of a zone, cannot open connections to any worker; open ones are reset or live on. */
	HostIsolated = 'host-isolated',
	/** Network fault between one host and the store. */
	StoreLink = 'store-link',
	/** The store responds with 503. */
	StoreBusy = 'store-busy',
	/** The store sends no responses. */
	StoreSilent = 'store-silent',
	/** The store applies writes but does not respond to them. */
	StoreLosesAnswers = 'store-loses-answers',
	/** The store discards its change history. */
	StoreForgets = 'store-forgets',
	/** The store is restored from a copy made at the start of the fault. What the operator and the workers wrote since is written again. */
	StoreRestore = 'store-restore',
	/** Network fault between all hosts and one worker. */
	WorkerLink = 'worker-link',
	/** One of the `WorkerFault`s. */
	WorkerFails = 'worker-fails',
	/** The worker sends bytes that are no response without end. */
	WorkerEndless = 'worker-endless',
	/** The worker rejects each request once, and writes the rejection once more before a later response on the connection. */
	WorkerRepeats = 'worker-repeats',
	/** The worker closes connections in the middle of the head of a response. */
	WorkerCutsHeads = 'worker-cuts-heads',
	/** Another writer leaves an entry that cannot be used among those of the workers or hosts. */
	OddEntry = 'odd-entry',
	/** SIGTERM while callers send calls that take up to seconds, and further signals during the grace period; the host is restarted once it has exited. */
	HostStopLongCalls = 'host-stop-long-calls',
	/** The same to all hosts in turn, the next one before the former has to be gone. */
	HostStopsInTurn = 'host-stops-in-turn',
	/** The worker is registered as draining. */
	WorkerDrain = 'worker-drain',
	/** The worker's entry is removed from the store. */
	WorkerGone = 'worker-gone',
	/** The worker names a limit of requests per second in its responses. */
	WorkerLimit = 'worker-limit',
	/** The worker says in its responses that it is leaving; its entry in the store says otherwise. It starts again after the duration. */
	WorkerLeaving = 'worker-leaving',
	/** The worker rejects requests and tells the hosts to wait. */
	WorkerBackoff = 'worker-backoff',
	/** Callers send a request that crashes each worker which runs it; the worker is back after a second. */
	CrashingRequest = 'crashing-request',
	/** A worker of another service responds at the worker's address. */
	AddressReuse = 'address-reuse',
	/** Network fault between the callers and one host. */
	CallerLink = 'caller-link',
	/** The operators' configuration gets another route. */
	ConfigChange = 'config-change',
	/** An availability zone is evacuated. */
	Evacuation = 'evacuation',
	/** Clients that do not behave open connections to a host: bodies, heads and empty lines without an end, answers that are not read. */
	Crowd = 'crowd',
}

/** One scheduled fault. */
export type Fault = {
	readonly kind: FaultKind;
	/** Start, ms after the start of the run. */
	readonly atMs: number;
	/** Duration, ms. */
	readonly forMs: number;
	/** Selects the host, worker or zone, from 0 to 1 (exclusive). */
	readonly target: number;
	/** Selects the variant of the fault, from 0 to 1 (exclusive). */
	readonly how: number;
};

/** Groups of kinds that were added later. Each is drawn after all before it, so that a seed still gives the faults that it gave before. */
const LATER_KINDS = [[FaultKind.StoreRestore, FaultKind.WorkerEndless], [FaultKind.WorkerLimit], [FaultKind.CrashingRequest], [FaultKind.HostIsolated], [FaultKind.WorkerLeaving, FaultKind.WorkerBackoff], [FaultKind.WorkerRepeats, FaultKind.WorkerCutsHeads, FaultKind.OddEntry, FaultKind.HostStopLongCalls]];
/** Kinds that are drawn last, for the same reason. */
const LAST_KINDS = [FaultKind.Crowd];
/** Kinds to choose from; a repeated kind is chosen more often. Worker faults have the highest weight because they have the most variants. */
const WEIGHTED_KINDS = [...Object.values(FaultKind).filter(kind => kind !== FaultKind.HostStopsInTurn && ![...LATER_KINDS.flat(), ...LAST_KINDS].includes(kind)), FaultKind.WorkerFails, FaultKind.WorkerFails, FaultKind.WorkerDrain, FaultKind.WorkerGone, FaultKind.ConfigChange];
/** Mean time between the starts of consecutive faults, ms. */
const MEAN_GAP_MS = 600;
/** The same for a group of kinds that was added later, ms. */
const LATER_MEAN_GAP_MS = 3000;
/** The same for `FaultKind.HostStopsInTurn`, ms: in most of a run other faults meet hosts that are not stopping. */
const IN_TURN_MEAN_GAP_MS = 12_000;
/** Bounds of a fault's duration before `EXTRA_DURATION_MS`, ms. */
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 4000;
/** Additional duration of faults to which hosts must react within a time limit, ms. Makes the fault last longer than the limit, so that a late reaction is visible. */
const EXTRA_DURATION_MS: Partial<Record<FaultKind, number>> = {
	[FaultKind.WorkerDrain]: 3000, [FaultKind.WorkerGone]: 3000, [FaultKind.Evacuation]: 5500, [FaultKind.WorkerLimit]: 8000, [FaultKind.WorkerLeaving]: 5000, [FaultKind.WorkerBackoff]: 4000, [FaultKind.CrashingRequest]: 6000, [FaultKind.HostIsolated]: 5000,
};
/** Probability that a fault keeps the kind of the previous one without choosing again. */
const REPEAT_PROBABILITY = 0.25;

/**
 * Generates a random sequence of overlapping faults. Deterministic for a seeded `random`.
 * @param durationMs end of the time in which faults start, ms.
 */
export function generatePlan(random: Random, durationMs: number, kinds?: readonly FaultKind[]): Fault[] {
	if (kinds) {
		return drawFaults(random, durationMs, kinds, MEAN_GAP_MS);
	}

	const faults = drawFaults(random, durationMs, WEIGHTED_KINDS, MEAN_GAP_MS);
	for (const laterKinds of LATER_KINDS) {
		faults.push(...drawFaults(random, durationMs, laterKinds, LATER_MEAN_GAP_MS));
	}

	faults.push(...drawFaults(random, durationMs, [FaultKind.HostStopsInTurn], IN_TURN_MEAN_GAP_MS), ...drawFaults(random, durationMs, LAST_KINDS, LATER_MEAN_GAP_MS));
	return faults.toSorted((a, b) => a.atMs - b.atMs);
}

function drawFaults(random: Random, durationMs: number, kinds: readonly FaultKind[], meanGapMs: number): Fault[] {
	const faults: Fault[] = [];
	let kind = kinds[0]!;
	for (let atMs = meanGapMs; atMs < durationMs; atMs += 2 * meanGapMs * random.next()) {
		if (random.next() >= REPEAT_PROBABILITY) {
			kind = kinds[Math.floor(random.next() * kinds.length)]!;
		}

		const baseDurationMs = MIN_DURATION_MS + ((MAX_DURATION_MS - MIN_DURATION_MS) * (random.next() ** 2));
		faults.push({
			kind, atMs: Math.round(atMs), forMs: Math.round(baseDurationMs + (EXTRA_DURATION_MS[kind] ?? 0)), target: random.next(), how: random.next(),
		});
	}

	return faults;
}
