/** Retry semantics of a route's requests. */
export enum RequestKind {
	/** May be executed more than once. */
	Idempotent = 'idempotent',
	/** Executed at most once for each request id. */
	NonIdempotent = 'non-idempotent',
	/** Has a long body; executed at most once for each request id. */
	Upload = 'upload',
}

/** A service that gets part of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the weights of the other shares of the route; greater than 0. */
	readonly weight: number;
};

/** Maps requests to services, with their limits. */
export type Route = {
	readonly name: string;
	/** Lower-case host name without a port. */
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly prefix: string;
	readonly kind: RequestKind;
	/** Maximum time until a request must be answered, ms. */
	readonly timeoutMs: number;
	/** Target response time, ms; a later response is worth less to the caller. */
	readonly targetMs: number;
	/** Priority among requests that wait for a worker; 0 is the highest. */
	readonly priority: number;
	/** Maximum number of times that one request is sent to a worker. */
	readonly maxAttempts: number;
	/** Whether a worker answers faster for objects that it has handled recently. */
	readonly hasAffinity: boolean;
	/** Regions whose workers may serve the requests; empty for all regions. Not related to the home region of a caller. */
	readonly homeRegions: readonly string[];
	/** Services that share the requests; at least one. */
	readonly shares: readonly ServiceShare[];
};

/** Configuration of a service. */
export type ServiceSpec = {
	readonly name: string;
	/** Path of the health check. */
	readonly healthPath: string;
	/** Maximum number of connections of a worker, over all hosts. */
	readonly maxConnections: number;
	/** Duration of the warm-up after the start of a worker, ms. */
	readonly warmupMs: number;
	/** Maximum requests per second to a worker that is warming up, over all hosts; `undefined` for no limit. */
	readonly warmupPerSecond: number | undefined;
};

/** Limits on the requests and connections of callers. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Timeout for receiving the header of a request, ms. */
	readonly headerTimeoutMs: number;
	/** Idle timeout of a caller's connection, ms. */
	readonly idleTimeoutMs: number;
};

/** A complete configuration; a higher version replaces a lower one. */
export type SteeringConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceSpec[];
	readonly limits: CallerLimits;
};

/** Limits in effect until a configuration has been loaded. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
