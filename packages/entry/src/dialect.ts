import type {IncomingHttpHeaders} from 'node:http';

/** What a caller says about its request. */
export type CallerSigns = {
	/** Names this attempt of the caller; workers echo it. */
	readonly requestId: string | undefined;
	/** Time that the caller waits, ms. */
	readonly waitsMs: number | undefined;
	/** The object that the request is about. */
	readonly object: string | undefined;
};

/** Requests at a worker, as it says itself. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
};

/** What the head of a worker's answer says. */
export type AnswerSigns = {
	/** Echo of the request's id. */
	readonly requestId: string | undefined;
	/** Whether a worker vouches for the answer. */
	readonly isSigned: boolean;
	/** The worker says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Another worker has the address. */
	readonly isOtherWorker: boolean;
	readonly load: ReportedLoad | undefined;
};

/** Result of a status check. */
export type CheckSigns = {
	readonly isHealthy: boolean;
	/** Id of the worker that answered. */
	readonly worker: string | undefined;
	/** How long it stays cold, ms. */
	readonly coldMs: number;
};

/** Headers of answers, as undici hands them out. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** How callers and workers spell what the product needs to know; names are lower case. */
export interface Dialect {
	readCaller(headers: IncomingHttpHeaders): CallerSigns;
	/** Request headers that this host sets itself, and so are not copied from the caller. */
	readonly ownHeaders: ReadonlySet<string>;
	/** Names and values in turn. @param leftMs time that the worker has. */
	workerHeaders(worker: string, leftMs: number): string[];
	readAnswer(status: number, headers: AnswerHeaders): AnswerSigns;
	readCheck(status: number, headers: AnswerHeaders): CheckSigns;
}
