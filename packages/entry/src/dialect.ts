import type {IncomingHttpHeaders} from 'node:http';

/** What a caller's request headers say about the request. */
export type RequestMetadata = {
	/** Id that the caller gives to this request; workers echo it in their responses. Retries of the caller are not recognized by it. */
	readonly requestId: string | undefined;
	/** Remaining timeout of the caller: time that it still waits for a response to this attempt, ms; shrinks with each retry of the same request. */
	readonly waitsMs: number | undefined;
	/** Key of the object that the request is about; routes with affinity prefer workers that have the object cached. */
	readonly object: string | undefined;
};

/** Number of requests at a worker, as reported by the worker. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
};

/** What a worker says of itself in a response. It binds this host on all paths to the worker, see `WorkerAvailability`. */
export type WorkerNotice = {
	/** Whether the worker says that it is leaving. */
	readonly isDraining: boolean;
	/** Time for which the worker wants nothing from this host, ms; `undefined` if the response names none. */
	readonly retryAfterMs: number | undefined;
	/** Requests per second that the worker accepts from all hosts together, as long as its responses name this limit; `undefined` if this one names none. */
	readonly rateLimit: number | undefined;
};

/** What the status and headers of a worker's response say. */
export type ResponseMetadata = WorkerNotice & {
	/** Request id echoed by the worker; `undefined` when the response carries none. */
	readonly requestId: string | undefined;
	/** Whether the response carries a worker's signature header. */
	readonly isSigned: boolean;
	/** Whether the worker states that it has not run the request. */
	readonly isNotRun: boolean;
	/** Whether a different worker than the requested one now listens on the address. */
	readonly isOtherWorker: boolean;
	readonly load: ReportedLoad | undefined;
};

/** Result of a worker's health check. */
export type HealthCheckResult = WorkerNotice & {
	/** Whether the worker reports itself as healthy; the check passes only if the expected worker has responded, too. */
	readonly isHealthy: boolean;
	/** Id of the worker that responded; `undefined` when the response does not name it. */
	readonly worker: string | undefined;
	/** Remaining warm-up time of the worker, ms. */
	readonly coldMs: number;
};

/** Response headers in the form that undici provides. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Maps the HTTP headers of one platform's callers and workers to the values that the proxy uses. Header names are lower case. */
export interface Dialect {
	parseRequestHeaders(headers: IncomingHttpHeaders): RequestMetadata;
	/** Names of request headers that this host sets itself and therefore does not copy from the caller. */
	readonly managedHeaders: ReadonlySet<string>;
	/** Builds the headers that this host adds to a worker's request, as alternating names and values. @param remainingMs time left for the worker to respond, ms. */
	buildWorkerHeaders(worker: string, remainingMs: number): string[];
	/** Builds the headers that this host adds to a request that it passes on to another host, as alternating names and values. @param remainingMs time left for the response, ms. */
	buildForwardHeaders(remainingMs: number): string[];
	parseResponseHeaders(status: number, headers: ResponseHeaders): ResponseMetadata;
	parseHealthCheck(status: number, headers: ResponseHeaders): HealthCheckResult;
}
