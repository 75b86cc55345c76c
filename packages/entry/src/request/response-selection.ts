import {NOT_RUN_STATUSES, isForwardable, type ResponseHead} from '../upstream/response.js';

/** Lowest status of a worker's own failure. */
export const FIRST_ERROR_STATUS = 500;
/** Status with which a worker reports that the deadline of the request has passed. */
const DEADLINE_STATUS = 504;

/** The request of a response, as far as it decides what is done with the response. */
export type RequestProgress = {
	/** Whether any attempt may have run the request. */
	readonly mayHaveRun: boolean;
	/** Whether the request can be sent again. */
	readonly canRetry: boolean;
};

/**
 * Whether a worker's response is forwarded to the caller. It is withheld if it is
 * not the worker's own, if the request is better retried, or if its status says that
 * the request has not run, although an attempt may have run it.
 */
export function shouldForward(head: ResponseHead, {mayHaveRun, canRetry}: RequestProgress): boolean {
	const {status} = head;
	const isNotRunStatus = NOT_RUN_STATUSES.has(status);
	const isFailure = status >= FIRST_ERROR_STATUS || isNotRunStatus;
	const isRetried = isFailure && canRetry && status !== DEADLINE_STATUS;
	return isForwardable(head) && !(isNotRunStatus && mayHaveRun) && !isRetried;
}

/** Whether an unsigned response of another host is its rejection, or its statement that the outcome is unknown. */
export function isPeerRejection({status}: ResponseHead): boolean {
	return NOT_RUN_STATUSES.has(status) || status >= FIRST_ERROR_STATUS;
}
