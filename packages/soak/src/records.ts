import type {ExecutedRequest} from '@apricotwood/platform/standin';
import type {HostExit} from './host.js';
import type {FaultKind} from './plan.js';

/** Kinds of calls; the value is also the path prefix of the route, except for reads of added routes. */
export enum CallKind {
	/** Idempotent. */
	Read = 'read',
	/** Non-idempotent. */
	Book = 'book',
	/** Upload. */
	Load = 'load',
	/** Upload on a route without a timeout, which may take seconds. */
	Long = 'long',
	/** Non-idempotent, on a route with a timeout of seconds. */
	Timed = 'timed',
}

/** How a call ended from the caller's point of view. */
export enum CallEnd {
	/** A complete response arrived. */
	Answered = 'answered',
	/** A response started but was truncated. */
	Cut = 'cut',
	/** The connection was closed without a response. */
	NoAnswer = 'no-answer',
	/** The connection could not be established. */
	NoConnection = 'no-connection',
	/** The caller cancelled the call early, on purpose. */
	GaveUp = 'gave-up',
	/** No complete response arrived until long after the timeout of the call. */
	Hung = 'hung',
}

/** One request of a caller. Times are Unix ms. */
export type Call = {
	readonly id: string;
	readonly kind: CallKind;
	readonly host: string;
	readonly method: string;
	readonly url: string;
	/** Length of the request body. */
	readonly bytes: number;
	/** MD5 of the request body, hex. */
	readonly digest: string;
	/** Timeout that the caller announces, ms. */
	readonly timeoutMs: number;
	readonly sentAtMs: number;
	end: CallEnd;
	endAtMs: number;
	/** HTTP status; 0 without a response. */
	status: number;
	/** Signature of the worker that responded; `undefined` if the entry host produced the response. */
	signature: string | undefined;
	/** Whether the response body is the one that a worker sends for this request. */
	isExpected: boolean;
	/** Start of the response body. */
	answer: string;
};

/** Change in the store that hosts must react to. */
export type ChangeNotice = {
	readonly what: 'draining' | 'gone' | 'route-added' | 'evacuated';
	/** Id of the worker, path prefix of the route, or zone. */
	readonly subject: string;
	/** Time of the change, Unix ms. */
	readonly atMs: number;
	/** Time at which the change was reverted, Unix ms; `undefined` while it is in effect. */
	untilMs: number | undefined;
};

/** Period in which a fault affected a subject. Times are Unix ms. */
export type Disturbance = {
	readonly kind: FaultKind;
	/** Id of the host or worker, or `STORE_SUBJECT`. */
	readonly subject: string;
	/** Whether the fault ends calls at the subject without a whole answer, whatever a host does. @default false */
	readonly endsCalls?: boolean;
	readonly fromMs: number;
	/** Infinity while the fault is active. */
	untilMs: number;
};

/** Period in which something held. Times are Unix ms. */
export type Period = {
	readonly fromMs: number;
	/** Infinity while it holds. */
	untilMs: number;
};

/** Period in which a worker said something of itself in its responses. */
export type WorkerPeriod = Period & {readonly worker: string};

/** Period in which a host ran the earlier build. */
export type HostPeriod = Period & {readonly host: string};

/** Period in which a worker named a limit of requests per second. */
export type LimitPeriod = WorkerPeriod & {readonly perSecond: number};

/** Period in which a worker rejected requests and told the hosts to wait. */
export type BackoffPeriod = WorkerPeriod & {readonly retryAfterMs: number};

/** Period in which callers send a request that crashes the workers which run it. Times are Unix ms. */
export type CrashingRequest = {
	readonly url: string;
	readonly fromMs: number;
	/** Infinity while it is sent. */
	untilMs: number;
};

/** A request that arrived at a worker, executed or not. */
export type Arrival = {
	/** Id of the call. */
	readonly id: string;
	readonly worker: string;
	/** Time at which the worker had read the request, Unix ms. */
	readonly atMs: number;
	/** Time at which its head had arrived, Unix ms; `undefined` if not recorded. */
	readonly headAtMs?: number;
	/** Id of the host that sent it, which is another one than that of the call if this passed the call on; `undefined` if not recorded. */
	readonly sender?: string | undefined;
};

/** Time by which the event loop of the soak itself was late; callers and workers run in it, so what they record is late by as much. */
export type Lag = {
	/** Unix ms. */
	readonly atMs: number;
	readonly lagMs: number;
};

/** Stop of a host process. Times are Unix ms. */
export type HostStop = {
	readonly host: string;
	/** Time of the first stop signal. */
	readonly atMs: number;
	/** Time at which the process had exited; `undefined` if it did not exit in time. */
	endAtMs: number | undefined;
};

/** Observations of one run, taken outside the hosts. */
export type SoakRecords = {
	readonly calls: Call[];
	/** Requests that workers executed. */
	readonly runs: ExecutedRequest[];
	readonly arrivals: Arrival[];
	readonly limits: LimitPeriod[];
	/** Periods in which a worker said that it was leaving, while its entry in the store said otherwise. */
	readonly leavings: WorkerPeriod[];
	readonly backoffs: BackoffPeriod[];
	/** Periods in which hosts ran an earlier build, which does not know the newest promises. */
	readonly oldBuilds: HostPeriod[];
	readonly crashingRequests: CrashingRequest[];
	/** Periods in which a host reached no worker. Other promises hold for it all the same. */
	readonly isolations: Disturbance[];
	readonly lags: Lag[];
	readonly exits: HostExit[];
	readonly notices: ChangeNotice[];
	readonly disturbances: Disturbance[];
	/** First stop signals of processes. */
	readonly stops: HostStop[];
	/** Periods in which all hosts were stopped in turn, from the first signal to the last exit. */
	readonly stopsInTurn: Period[];
	/** Time from which no fault is active and everything must have recovered, Unix ms. */
	calmFromMs: number;
};

/** Creates records without observations. */
export function createRecords(): SoakRecords {
	return {
		calls: [], runs: [], arrivals: [], limits: [], leavings: [], backoffs: [], oldBuilds: [], crashingRequests: [], isolations: [], lags: [], exits: [], notices: [], disturbances: [], stops: [], stopsInTurn: [], calmFromMs: Number.POSITIVE_INFINITY,
	};
}

/** Longest lag of the soak itself in a period, ms. */
export function findMaxLagMs({lags}: SoakRecords, fromMs: number, untilMs: number): number {
	return Math.max(0, ...lags.filter(({atMs, lagMs}) => atMs >= fromMs && atMs - lagMs <= untilMs).map(({lagMs}) => lagMs));
}

/** Time after the end of a disturbance from which time limits apply again, ms. */
const SETTLING_MS = 3000;

/** Whether no fault affected any of the subjects from `SETTLING_MS` before a period to its end. Faults of `ignoredKind` do not count. */
export function isUndisturbed({disturbances}: SoakRecords, fromMs: number, untilMs: number, subjects: ReadonlyArray<string | undefined>, ignoredKind?: FaultKind): boolean {
	return disturbances.every((disturbance: Disturbance) => !subjects.includes(disturbance.subject) || disturbance.kind === ignoredKind
		|| disturbance.fromMs > untilMs || disturbance.untilMs < fromMs - SETTLING_MS);
}
