import type {LogLine} from '@apricotwood/telemetry';

/** What became of a caller's request at a host, and why it was lost or late. */
export enum LossCause {
	InTime = 'in-time',
	/** Late, and the caller had been rejected before. */
	LateReturn = 'late-return',
	/** Late, and the worker was not expected to have the object. */
	LateNotCached = 'late-not-cached',
	/** Late, and most of the time until the target had passed in the host. */
	LateWaited = 'late-waited',
	/** Late at a worker that was expected to have the object: a queue, or a slow worker. */
	LateAtWorker = 'late-at-worker',
	/** Rejected by the host: no worker had room, or the request would have been late. */
	RejectedByHost = 'rejected-by-host',
	/** Rejected by each worker that it was sent to. */
	RejectedByWorker = 'rejected-by-worker',
	/** No worker in service, or none could be reached. */
	NoWorker = 'no-worker',
	/** Sent to a worker, without a response that could be forwarded. */
	LostAtWorker = 'lost-at-worker',
	CallerLeft = 'caller-left',
	/** The host had no or only old operators' data. */
	HostNotReady = 'host-not-ready',
	/** Invalid or not allowed. */
	Invalid = 'invalid',
}

/** Number of requests by cause. */
export type LossCounts = Record<LossCause, number>;

/** Losses of one window of time. */
export type LossWindow = {
	/** Start of the window, ms since the first request. */
	readonly startMs: number;
	readonly counts: LossCounts;
};

/** Losses of a log, in total, by route and by window of time. */
export type Losses = {
	readonly total: LossCounts;
	readonly byRoute: ReadonlyMap<string, LossCounts>;
	readonly windows: readonly LossWindow[];
};

/** Part of the time until the target from which waiting in the host makes a request late. */
const MAX_WAIT_RATIO = 0.5;
/** Reason of an attempt for a caller that was rejected before, as logged. */
const CALLER_RETRY = 'return';

/** Causes of requests without a forwarded response, by the logged code. */
const CAUSE_BY_CODE: Readonly<Record<string, LossCause>> = {
	full: LossCause.RejectedByHost,
	late: LossCause.RejectedByHost,
	shed: LossCause.RejectedByWorker,
	'no-worker': LossCause.NoWorker,
	unreachable: LossCause.NoWorker,
	unknown: LossCause.LostAtWorker,
	timeout: LossCause.LostAtWorker,
	'caller-left': LossCause.CallerLeft,
	'not-ready': LossCause.HostNotReady,
	'stale-routes': LossCause.HostNotReady,
};

type LoggedAttempt = {readonly warm?: boolean; readonly why?: string};

/**
 * Counts what became of the requests in the logs of all hosts. A caller that comes
 * back after a rejection counts as a request of its own.
 * @param windowMs length of a window, ms.
 */
export function countLosses(lines: readonly LogLine[], windowMs: number): Losses {
	const requests = lines.filter(({event}) => event === 'request');
	const startMs = Math.min(...requests.map(line => arrivalMs(line)));
	const total = createCounts();
	const byRoute = new Map<string, LossCounts>();
	const windows: LossWindow[] = [];
	for (const line of requests) {
		const cause = classifyRequest(line);
		const route = typeof line.route === 'string' ? line.route : '-';
		const routeCounts = byRoute.get(route) ?? createCounts();
		byRoute.set(route, routeCounts);
		const index = Math.floor((arrivalMs(line) - startMs) / windowMs);
		for (let added = windows.length; added <= index; added++) {
			windows.push({startMs: added * windowMs, counts: createCounts()});
		}

		total[cause]++;
		routeCounts[cause]++;
		windows[index]!.counts[cause]++;
	}

	return {total, byRoute, windows};
}

/** Determines the cause from one `request` line of a host's log. */
export function classifyRequest(line: LogLine): LossCause {
	if (line.code !== 'answered') {
		return CAUSE_BY_CODE[String(line.code)] ?? LossCause.Invalid;
	}

	const leftMs = Number(line.targetLeftMs);
	if (leftMs >= 0) {
		return LossCause.InTime;
	}

	const attempts = (line.attempts ?? []) as readonly LoggedAttempt[];
	if (attempts.some(({why}) => why === CALLER_RETRY)) {
		return LossCause.LateReturn;
	}

	if (attempts.some(({warm}) => warm === false)) {
		return LossCause.LateNotCached;
	}

	return Number(line.waitedMs) > (leftMs + Number(line.ms)) * MAX_WAIT_RATIO ? LossCause.LateWaited : LossCause.LateAtWorker;
}

function createCounts(): LossCounts {
	return Object.fromEntries(Object.values(LossCause).map(cause => [cause, 0])) as LossCounts;
}

function arrivalMs({at, ms}: LogLine): number {
	return at - Number(ms ?? 0);
}
