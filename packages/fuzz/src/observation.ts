import type {CallerAnswer} from './caller/caller-connection.js';

/** What may be done with a request of a route. */
export enum CallKind {
	Idempotent = 'read',
	NonIdempotent = 'book',
	Upload = 'load',
}

/** A request as its caller sent and saw it. */
export type Call = {
	readonly id: string;
	readonly kind: CallKind;
	readonly method: string;
	readonly path: string;
	/** MD5 of the body, hex. */
	readonly digest: string;
	/** Whether every configuration that may be in force allows it. */
	readonly isAllowed: boolean;
	/** Time that the caller allows, ms. */
	readonly timeLeftMs: number;
	/** Time from sending it to the answer's end, ms. */
	readonly tookMs: number;
	readonly answer: CallerAnswer;
};

/** What a worker wrote in answer to a request. */
export type WorkerAnswer = {
	readonly status: number;
	/** `undefined` if it is unsigned. */
	readonly signature: string | undefined;
	/** Body of which a caller may believe that it is the whole one. */
	readonly body: string;
	/** Whether the worker wrote all of it, and nothing ended it early. */
	readonly isWhole: boolean;
	/** Whether all its bytes are as HTTP/1.1 wants them; one that is not may be broken off. */
	readonly isProper: boolean;
};

/** A request as it arrived at a worker. */
export type Arrival = {
	readonly id: string;
	readonly worker: string;
	readonly method: string;
	readonly path: string;
	/** MD5 of the body, hex; `undefined` if it did not arrive completely. */
	digest: string | undefined;
	/** Whether the worker began to work on it. */
	hasRun: boolean;
	answer: WorkerAnswer | undefined;
};

/** What callers, workers and the log's reader see of one run. */
export type Observation = {
	readonly calls: readonly Call[];
	readonly arrivals: readonly Arrival[];
	/** Bytes that reached a worker and are no request. */
	readonly strangeRequests: readonly string[];
	/** Bytes on callers' connections with no request waiting. */
	readonly surplus: readonly string[];
	/** Ends of hosts, and parts and requests that ended by an exception. */
	readonly failures: readonly string[];
	/** Hosts that did not serve again after the rows were sound. */
	readonly hostsNotServing: readonly string[];
	/** Time for which this process did not react, in all, ms. */
	readonly lagMs: number;
};
